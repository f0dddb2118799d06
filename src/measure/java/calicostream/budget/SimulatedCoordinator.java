// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The grant coordinator of a {@link FleetSimulation}, which runs at one process at a time. It works
 * on a copy of the state machine and requests counts from engines; with faults it sometimes
 * allocates at random.
 */
final class SimulatedCoordinator {
    private static final long NANOS_PER_MILLI = FleetSimulation.NANOS_PER_MILLI;

    private final FleetSimulation sim;
    private final SplittableRandom random;
    private final Map<String, Long> lastSeenReport = new HashMap<>();
    private GrantCoordinator coordinator;
    private SimulatedProcess host;
    private long fencingToken;

    SimulatedCoordinator(FleetSimulation sim) {
        this.sim = sim;
        this.random = sim.random;
    }

    /** Transfers the coordinator's lease to a random process. */
    void transferLease() {
        fencingToken++;
        host = sim.processes.get(random.nextInt(sim.processes.size()));
        coordinator = new GrantCoordinator(sim.settings);
    }

    void runRound() {
        if (host.isStopped() || !host.isUp()) {
            return;
        }
        SimulatedProcess sender = host;
        GrantStateMachine copy = new GrantStateMachine(sim.settings, sim.disabledSafeguards);
        copy.restore(sim.machine.snapshot());
        for (BudgetCommand.Allocate allocate : coordinator.allocate(copy, fencingToken)) {
            submit(sender, allocate);
        }
        if (!sim.faults.isEnabled()) {
            return;
        }
        if (random.nextInt(20) == 0) {
            allocateAtRandom(copy, sender);
        }
        for (ProcessEntry process : copy.ledger().processes().values()) {
            sim.engines.forEach(engine -> requestCount(copy, sender, process, engine));
            lastSeenReport.put(process.name(), process.reportNumber());
        }
    }

    private void submit(SimulatedProcess sender, BudgetCommand command) {
        sim.submit(sender.session(), command.encode(), effects -> {});
    }

    private void allocateAtRandom(GrantStateMachine copy, SimulatedProcess sender) {
        sim.recordFault("random allocation");
        List<BudgetCommand.Grant> grants = new ArrayList<>();
        for (ProcessEntry process : copy.ledger().processes().values()) {
            SimulatedEngine engine = sim.engines.get(random.nextInt(sim.engines.size()));
            int tenant = random.nextInt(sim.settings.tenants().size());
            grants.add(
                    new BudgetCommand.Grant(
                            process.name(),
                            process.session(),
                            engine.name,
                            engine.incarnation,
                            sim.settings.tenants().get(tenant).name(),
                            random.nextInt(engine.cap + 1)));
        }
        submit(sender, new BudgetCommand.Allocate(fencingToken, grants));
    }

    /**
     * Requests an engine's count of a process whose grants have expired or whose predecessors'
     * have, and sometimes one that cannot be used as a bound because the grants are still valid.
     */
    private void requestCount(
            GrantStateMachine copy,
            SimulatedProcess sender,
            ProcessEntry process,
            SimulatedEngine engine) {
        boolean forPredecessors = process.hasPredecessors() && random.nextBoolean();
        long expiredAtIndex =
                forPredecessors ? process.predecessorsExpiredAtIndex() : process.expiredAtIndex();
        boolean isSilent =
                lastSeenReport.getOrDefault(process.name(), -1L) == process.reportNumber();
        if (!process.hasSession()
                || expiredAtIndex == 0 && random.nextInt(isSilent ? 2 : 20) != 0) {
            return; // Before the expiry a count is requested only at random; it must be rejected.
        }
        long appliedIndex = copy.ledger().appliedIndex();
        if (random.nextInt(isSilent ? 3 : 60) == 0) {
            // The state machine must reject an expiry that is not from the leader.
            submit(
                    sender,
                    new BudgetCommand.Expire(
                            process.name(),
                            process.session(),
                            forPredecessors,
                            process.reportNumber()));
        }
        sim.schedule(
                sim.now + sim.randomDelay(),
                () -> {
                    BudgetCommand.EngineCount count =
                            count(process, engine, forPredecessors, appliedIndex);
                    // The requester may be stopped before it submits the count.
                    long stoppedNanos =
                            random.nextInt(4) == 0 ? random.nextLong(2_000 * NANOS_PER_MILLI) : 0;
                    sim.schedule(sim.now + stoppedNanos, () -> submit(sender, count));
                });
    }

    private static BudgetCommand.EngineCount count(
            ProcessEntry process,
            SimulatedEngine engine,
            boolean forPredecessors,
            long appliedIndex) {
        String name = process.name();
        long session = process.session();
        return new BudgetCommand.EngineCount(
                engine.name,
                engine.incarnation,
                name,
                session,
                forPredecessors,
                appliedIndex,
                engine.countSessions(name, session, forPredecessors),
                forPredecessors && engine.allConnectionsClosed(name, session));
    }
}
