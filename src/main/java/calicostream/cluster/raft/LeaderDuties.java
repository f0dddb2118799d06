// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.BoundedElapsedTime;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.SessionExpiryMonitor;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * What only the leader does at each heartbeat: it proposes the expiry of sessions and of what the
 * state machines time. Pure but for the proposals; the voter's thread; monotonic nanoseconds.
 */
final class LeaderDuties {
    private final ReplicatedState state;
    private final Map<String, ExpiryMonitor> expiryMonitors;
    private final SessionExpiryMonitor sessionExpiry;
    private final BoundedElapsedTime elapsed;
    private final BiConsumer<ReplicatedEntry, Consumer<CommandOutcome>> proposer;
    private long announcedEpoch;

    LeaderDuties(
            ReplicatedState state,
            Map<String, ExpiryMonitor> expiryMonitors,
            long heartbeatNanos,
            BiConsumer<ReplicatedEntry, Consumer<CommandOutcome>> proposer) {
        this.state = state;
        this.expiryMonitors = expiryMonitors;
        this.sessionExpiry = new SessionExpiryMonitor(state, heartbeatNanos);
        this.elapsed = new BoundedElapsedTime(heartbeatNanos);
        this.proposer = proposer;
    }

    /** Called at every heartbeat, also of a follower, so that the elapsed time goes on. */
    void onHeartbeat(long nowNanos, boolean isLeader) {
        long elapsedNanos = elapsed.advance(nowNanos);
        if (!isLeader) {
            return;
        }
        announceEpoch(elapsedNanos);
        sessionExpiry.expiredSessions(nowNanos).forEach(this::propose);
        expiryMonitors.forEach((name, monitor) -> proposeDue(name, monitor, elapsedNanos));
    }

    private void announceEpoch(long elapsedNanos) {
        if (announcedEpoch != state.epoch()) {
            announcedEpoch = state.epoch();
            expiryMonitors
                    .values()
                    .forEach(each -> each.epochStarted(announcedEpoch, elapsedNanos));
        }
    }

    private void proposeDue(String stateMachine, ExpiryMonitor monitor, long elapsedNanos) {
        for (byte[] body : monitor.expiredCommands(elapsedNanos)) {
            propose(new ReplicatedEntry.LeaderCommand(state.epoch(), stateMachine, body));
        }
    }

    /** An expiry whose proposal fails is due again at the next heartbeat. */
    private void propose(ReplicatedEntry entry) {
        proposer.accept(entry, outcome -> {});
    }
}
