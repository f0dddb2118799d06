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
import java.util.function.Consumer;

/**
 * A log as members see one: three voters of which one leads, entries that are committed after a
 * while, in order, or lost when the leader changes, and no quorum at times. It stands for the
 * consensus alone; sessions, eras, the leases' machine and what the leader counts are the product's
 * own. Before a new era the copy goes through a snapshot.
 */
final class SimulatedLog {
    static final int VOTERS = 3;
    private static final long CHECK_INTERVAL_NANOS = 20_000_000;

    private record Proposal(byte[] entry, Consumer<CommandOutcome> done) {}

    private final RandomLeaseRun run;
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
            RandomLeaseRun runs,
            LeaseComponents parts,
            Consumer<ReplicatedState.StateChange> heard) {
        this.run = runs;
        this.components = parts;
        this.listener = heard;
        machine = parts.createMachine(null);
        state = new ReplicatedState(Map.of("lease", machine));
        becomeLeader(1);
        checkExpiry(leaderChanges);
    }

    int leader() {
        return leader;
    }

    LeaseStateMachine machine() {
        return machine;
    }

    void quorum(boolean there) {
        quorum = there;
        commit();
    }

    /**
     * Another voter leads; of what was proposed, a first part is in its log and the rest is not.
     */
    void changeLeader(int to) {
        int kept = run.random.nextInt(proposed.size() + 1);
        List<Proposal> lost = new ArrayList<>(proposed.subList(kept, proposed.size()));
        proposed.subList(kept, proposed.size()).clear();
        while (!proposed.isEmpty()) {
            apply(
                    new Proposal(
                            proposed.remove(0).entry,
                            outcome -> {})); // Its answer went with the old leader.
        }
        lost.clear();
        byte[] snapshot = state.snapshot();
        machine = components.createMachine(null);
        state = new ReplicatedState(Map.of("lease", machine));
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
        leaseExpiryMonitor.epochStarted(state.epoch(), run.process(voter).nanos());
    }

    /** The leader's count of time, at its own clock, while it leads. */
    private void checkExpiry(int since) {
        if (since != leaderChanges) {
            return;
        }
        long now = run.process(leader).nanos();
        for (byte[] body : leaseExpiryMonitor.expiredCommands(now)) {
            propose(
                    new ReplicatedEntry.LeaderCommand(state.epoch(), "lease", body).encode(),
                    outcome -> {});
        }
        for (ReplicatedEntry.ExpireSession expire : sessionExpiryMonitor.expiredSessions(now)) {
            propose(expire.encode(), outcome -> {});
        }
        run.process(leader).after(CHECK_INTERVAL_NANOS, () -> checkExpiry(since));
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
        run.after(1_000_000 + run.random.nextInt(5_000_000), this::commit);
    }

    private void commit() {
        while (quorum && !proposed.isEmpty()) {
            apply(proposed.remove(0));
        }
    }

    private void apply(Proposal proposal) {
        proposal.done.accept(state.apply(++index, proposal.entry));
        state.drainStateChanges().forEach(listener);
    }
}
