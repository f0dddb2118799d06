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
 * A replicated log as members see it: three voters of which one leads, entries that are committed
 * after a delay, in order, or lost when the leader changes, and no quorum at times. It replaces the
 * consensus alone; sessions, epochs, the lease state machine and the expiry monitors are the
 * product's own. Before each new epoch the replica goes through a snapshot.
 */
final class SimulatedLog {
    static final int VOTERS = 3;
    static final String MACHINE = "lease";
    private static final long CHECK_INTERVAL_NANOS = 20_000_000;

    private record Proposal(byte[] entry, Consumer<CommandOutcome> done) {}

    private final Random random;
    private final SimulatedTime time;
    private final List<SimulatedTime.Process> voters;
    private final LeaseComponents components;
    private final Consumer<ReplicatedState.StateChange> listener;
    private final List<Proposal> proposed = new ArrayList<>();
    private LeaseStateMachine machine;
    private ReplicatedState state;
    private LeaseExpiryMonitor leaseExpiryMonitor;
    private SessionExpiryMonitor sessionExpiryMonitor;
    private int leader;
    private long index;
    private boolean quorum = true;
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

    /** Nothing is committed while there is no quorum. */
    void setQuorum(boolean available) {
        quorum = available;
        commit();
    }

    /**
     * Makes another voter the leader. Of the proposed entries its log has the first ones, as many
     * as chance has it; the others are lost.
     */
    void changeLeader(int to) {
        int kept = random.nextInt(proposed.size() + 1);
        proposed.subList(kept, proposed.size()).clear();
        while (!proposed.isEmpty()) {
            // The answer is lost with the former leader.
            apply(new Proposal(proposed.remove(0).entry, outcome -> {}));
        }
        byte[] snapshot = state.snapshot();
        machine = components.createMachine(null);
        state = new ReplicatedState(Map.of(MACHINE, machine));
        state.restore(snapshot);
        becomeLeader(to);
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
        leaseExpiryMonitor.epochStarted(state.epoch(), voters.get(voter - 1).nanos());
    }

    /** Proposes what has expired by the leader's clock, periodically while it leads. */
    private void checkExpiry(int leadership) {
        if (leadership != leaderChanges) {
            return;
        }
        long now = voters.get(leader - 1).nanos();
        for (byte[] body : leaseExpiryMonitor.expiredCommands(now)) {
            propose(
                    new ReplicatedEntry.LeaderCommand(state.epoch(), MACHINE, body).encode(),
                    outcome -> {});
        }
        for (ReplicatedEntry.ExpireSession expire : sessionExpiryMonitor.expiredSessions(now)) {
            propose(expire.encode(), outcome -> {});
        }
        voters.get(leader - 1).after(CHECK_INTERVAL_NANOS, () -> checkExpiry(leadership));
    }

    void received(int voter, byte[] frame, Consumer<byte[]> answer) {
        MemberMessage.Request request = (MemberMessage.Request) MemberMessage.decode(frame);
        Consumer<CommandOutcome> done =
                outcome ->
                        answer.accept(new MemberMessage.Reply(request.id(), 0, outcome).encode());
        if (voter == leader) {
            propose(request.body(), done);
        } else {
            done.accept(
                    CommandOutcome.failed(
                            0, ClusterException.NotLeader.CODE, voter, leader, state.epoch()));
        }
    }

    private void propose(byte[] entry, Consumer<CommandOutcome> done) {
        Proposal proposal = new Proposal(entry, done);
        proposed.add(proposal);
        time.after(1_000_000 + random.nextInt(5_000_000), this::commit);
    }

    private void commit() {
        while (quorum && !proposed.isEmpty()) {
            apply(proposed.remove(0));
        }
    }

    private void apply(Proposal proposal) {
        index++;
        proposal.done.accept(state.apply(index, proposal.entry));
        state.drainStateChanges().forEach(listener);
    }
}
