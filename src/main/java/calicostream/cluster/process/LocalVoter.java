// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.ClusterException;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterNode;
import calicostream.cluster.raft.VoterRecoveryHandshake;
import calicostream.durable.DurableException;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A member's voter, which may be missing (barred at the start) or have ended while the member goes
 * on with its session alone. The member's thread.
 */
final class LocalVoter {
    /** How far the voter is. */
    enum Phase {
        /** No voter runs in this process. */
        ABSENT,
        /** It waits for its peers and neither votes nor follows. */
        RECOVERING,
        /** It takes part in the group. */
        RUNNING,
        /** It ended: by a failure, a stop, or because its log says that it was removed. */
        ENDED
    }

    private static final Logger LOG = LoggerFactory.getLogger(Member.class);

    private final Voter self;
    private String barredReason;
    private String failure = "";

    /** Null where no voter runs. */
    private VoterNode node;

    /**
     * Creates a voter that does not run yet.
     *
     * @param barredReason why this member must not run a voter; empty if it may
     */
    LocalVoter(Voter self, String barredReason) {
        this.self = self;
        this.barredReason = barredReason;
    }

    /** Takes over the node that runs from now on. */
    void attach(VoterNode running) {
        node = running;
    }

    void start(VoterRecoveryHandshake recovery) {
        node.start(recovery);
    }

    boolean isPresent() {
        return node != null;
    }

    Phase phase() {
        if (node == null) {
            return Phase.ABSENT;
        }
        if (node.isStopped()) {
            return Phase.ENDED;
        }
        boolean isRecovering =
                node.recoveryHandshake()
                        .map(VoterRecoveryHandshake::state)
                        .map(VoterRecoveryHandshake.State.WAITING_FOR_PEERS::equals)
                        .orElse(true);
        return isRecovering ? Phase.RECOVERING : Phase.RUNNING;
    }

    /** Why this member must not vote; empty if it may. */
    String barredReason() {
        return barredReason;
    }

    /** Why the voter stopped by itself; empty if it did not. */
    String failure() {
        return failure;
    }

    /**
     * The node stopped by itself; the member's session goes on at the other voters.
     *
     * @return whether that is a failure; a loss of state bars the voter instead
     */
    boolean onFailure(Throwable reason) {
        if (reason instanceof ClusterException.VoterStateLost) {
            barredReason = reason.getMessage();
            return false;
        }
        if (reason instanceof DurableException || reason instanceof ClusterException) {
            failure = reason.getMessage();
        } else {
            failure =
                    new ClusterException.VoterStopped(self.member(), reason.toString())
                            .getMessage();
            LOG.error("member {}: voter stopped", self, reason);
        }
        return true;
    }

    void onFrame(int from, byte[] frame) {
        if (node != null) {
            node.onFrame(from, frame);
        }
    }

    boolean isLeader() {
        return node != null && node.isLeader();
    }

    /** The leader's member number as far as the voter knows; 0 if it does not. */
    int leader() {
        return node == null ? 0 : node.leader();
    }

    int term() {
        return node == null ? 0 : node.term();
    }

    int pendingProposals() {
        return node == null ? 0 : node.pendingProposals();
    }

    Optional<Long> stateAgeNanos() {
        return node == null ? Optional.empty() : node.stateAgeNanos();
    }

    Membership membership() {
        return node == null
                ? Membership.NONE
                : Membership.of(node.voters(), node.votersAndLearners());
    }

    void transferLeadership(Voter target) {
        node.transferLeadership(target);
    }

    void stepTowards(Collection<Voter> wanted, Consumer<ClusterException> done) {
        node.stepTowards(wanted, done);
    }

    void stop() {
        if (node != null) {
            node.stop();
        }
    }
}
