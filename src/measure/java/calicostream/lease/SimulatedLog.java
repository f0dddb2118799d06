// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.ClusterException;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.SessionExpiryMonitor;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * A simulated replicated log as members observe it: three voters, one of which is the leader;
 * entries that are committed in order after a delay, or lost when the leader changes; and periods
 * without quorum. Only the consensus algorithm is simulated; sessions, epochs, the lease state
 * machine and the expiry monitors are the production classes. Before each new epoch the replica is
 * restored from a snapshot.
 */
final class SimulatedLog {
    static final int VOTERS = 3;
    static final String MACHINE = "lease";
    private static final long CHECK_INTERVAL_NANOS = 20_000_000;

    private record Proposal(byte[] entry, Consumer<CommandOutcome> onOutcome) {}

    private final Random random;
    private final SimulatedTime time;
    private final List<SimulatedTime.Process> voters;
    private final LeaseComponents components;
    private final Consumer<ReplicatedState.StateChange> listener;
    private final List<Proposal> proposals = new ArrayList<>();
    private LeaseStateMachine machine;
    private ReplicatedState state;
    private LeaseExpiryMonitor leaseExpiryMonitor;
    private SessionExpiryMonitor sessionExpiryMonitor;
    private int leader;
    private long index;
    private boolean hasQuorum = true;
    private int leaderChanges;

    SimulatedLog(
            Random random,
            SimulatedTime time,
            List<SimulatedTime.Process> voters,
            LeaseComponents components,
            Consumer<ReplicatedState.StateChange> listener) {
        this.random = random;
        this.time = time;
        this.voters = voters;
        this.components = components;
        this.listener = listener;
        machine = components.createMachine(null);
        state = new ReplicatedState(Map.of(MACHINE, machine));
        becomeLeader(1);
        checkExpiry(leaderChanges);
    }

    int leader() {
        return leader;
    }

    LeaseStateMachine machine() {
        return machine;
    }

    /** Sets whether there is a quorum. Nothing is committed without one. */
    void setQuorum(boolean available) {
        hasQuorum = available;
        commit();
    }

    /**
     * Makes another voter the leader. Its log contains a random number of the first proposed
     * entries; the other entries are lost.
     */
    void changeLeader(int newLeader) {
        int kept = random.nextInt(proposals.size() + 1);
        proposals.subList(kept, proposals.size()).clear();
        while (!proposals.isEmpty()) {
            // The answer is lost with the former leader.
            apply(new Proposal(proposals.remove(0).entry, outcome -> {}));
        }
        byte[] snapshot = state.snapshot();
        machine = components.createMachine(null);
        state = new ReplicatedState(Map.of(MACHINE, machine));
        state.restore(snapshot);
        becomeLeader(newLeader);
        checkExpiry(leaderChanges);
    }

    private void becomeLeader(int voter) {
        leader = voter;
        leaderChanges++;
        apply(
                new Proposal(
                        new ReplicatedEntry.EpochStart(voter, leaderChanges).encode(),
                        outcome -> {}));
        leaseExpiryMonitor = components.createExpiryMonitor(machine, Map.of(), 0);
        sessionExpiryMonitor = new SessionExpiryMonitor(state, CHECK_INTERVAL_NANOS);
        leaseExpiryMonitor.epochStarted(state.epoch(), voters.get(voter - 1).monotonicNanos());
    }

    /**
     * Periodically proposes the expiry of leases and sessions that have expired by the leader's
     * clock, until the leader changes.
     */
    private void checkExpiry(int expectedLeaderChanges) {
        if (expectedLeaderChanges != leaderChanges) {
            return;
        }
        long now = voters.get(leader - 1).monotonicNanos();
        for (byte[] body : leaseExpiryMonitor.expiredCommands(now)) {
            propose(
                    new ReplicatedEntry.LeaderCommand(state.epoch(), MACHINE, body).encode(),
                    outcome -> {});
        }
        for (ReplicatedEntry.ExpireSession expire : sessionExpiryMonitor.expiredSessions(now)) {
            propose(expire.encode(), outcome -> {});
        }
        voters.get(leader - 1)
                .scheduleAfter(CHECK_INTERVAL_NANOS, () -> checkExpiry(expectedLeaderChanges));
    }

    void received(int voter, byte[] frame, Consumer<byte[]> onReply) {
        MemberMessage.Request request = (MemberMessage.Request) MemberMessage.decode(frame);
        Consumer<CommandOutcome> onOutcome =
                outcome ->
                        onReply.accept(new MemberMessage.Reply(request.id(), 0, outcome).encode());
        if (voter == leader) {
            propose(request.body(), onOutcome);
        } else {
            onOutcome.accept(
                    CommandOutcome.failed(
                            0, ClusterException.NotLeader.CODE, voter, leader, state.epoch()));
        }
    }

    private void propose(byte[] entry, Consumer<CommandOutcome> onOutcome) {
        Proposal proposal = new Proposal(entry, onOutcome);
        proposals.add(proposal);
        time.scheduleAfter(1_000_000 + random.nextInt(5_000_000), this::commit);
    }

    private void commit() {
        while (hasQuorum && !proposals.isEmpty()) {
            apply(proposals.remove(0));
        }
    }

    private void apply(Proposal proposal) {
        index++;
        proposal.onOutcome.accept(state.apply(index, proposal.entry));
        state.drainStateChanges().forEach(listener);
    }
}
