// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.ReplicatedState;
import java.util.Optional;

/**
 * Bounds the age of this voter's copy of the state: a read that the leader confirmed, begun at a
 * known moment, names an index; once the copy has applied that index it is at least as new as that
 * moment. Pure, the voter's thread, monotonic nanoseconds.
 */
final class StateAgeTracker {
    private final ReplicatedState state;
    private long nextRequestId;
    private long requestId;
    private long requestedAtNanos;
    private boolean isConfirmed;
    private long confirmedAtNanos;

    /**
     * Creates a tracker of a copy that no leader has confirmed yet.
     *
     * @param firstRequestId drawn at random, so that replies to a former process do not match
     */
    StateAgeTracker(ReplicatedState state, long firstRequestId) {
        this.state = state;
        this.nextRequestId = firstRequestId;
    }

    /** The greatest age that the copy can have; empty if no leader has confirmed it yet. */
    Optional<Long> ageNanos(long nowNanos) {
        return isConfirmed ? Optional.of(nowNanos - confirmedAtNanos) : Optional.empty();
    }

    /** A request for the leader's index, to be sent now; replaces the one before it. */
    MemberMessage.Request newLeaderRequest(long nowNanos) {
        requestedAtNanos = nowNanos;
        requestId = nextRequestId++;
        return new MemberMessage.Request(requestId, MemberMessage.Operation.READ, "", new byte[0]);
    }

    /** A reply; one to another request is ignored. */
    void onLeaderReply(MemberMessage.Reply reply) {
        if (reply.id() == requestId) {
            onConfirmed(reply.outcome(), requestedAtNanos);
        }
    }

    /** A read that began at {@code sinceNanos} had this outcome. */
    void onConfirmed(CommandOutcome outcome, long sinceNanos) {
        boolean isApplied = outcome.isAccepted() && state.appliedIndex() >= outcome.index();
        if (isApplied && (!isConfirmed || sinceNanos - confirmedAtNanos > 0)) {
            isConfirmed = true;
            confirmedAtNanos = sinceNanos;
        }
    }
}
