// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The grant coordinator of a {@link FleetSimulation}, at one process at a time: it works on a copy
 * of the state machine, asks engines for their counts, and now and then allocates at random.
 */
final class SimulatedCoordinator {
    private static final long MS = FleetSimulation.MS;

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

    /** Another process takes the lease. */
    void move() {
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
        sim.injected("random allocation");
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
     * Asks the engine what it runs of a process that is silent or was restarted, now and then of
     * one that is neither.
     */
    private void requestCount(
            GrantStateMachine copy,
            SimulatedProcess sender,
            ProcessEntry process,
            SimulatedEngine engine) {
        boolean ofPredecessors = process.hasPredecessors() && random.nextBoolean();
        long expiredAtIndex =
                ofPredecessors ? process.predecessorsExpiredAtIndex() : process.expiredAtIndex();
        boolean isSilent =
                lastSeenReport.getOrDefault(process.name(), -1L) == process.reportNumber();
        if (!process.hasSession()
                || expiredAtIndex == 0 && random.nextInt(isSilent ? 2 : 20) != 0) {
            return; // Now and then a count is requested before it can be proof.
        }
        long knownIndex = copy.ledger().appliedIndex();
        if (random.nextInt(isSilent ? 3 : 60) == 0) {
            // A member that is not the leader must not expire anything.
            submit(
                    sender,
                    new BudgetCommand.Expire(
                            process.name(),
                            process.session(),
                            ofPredecessors,
                            process.reportNumber()));
        }
        sim.schedule(
                sim.now + sim.delay(),
                () -> {
                    BudgetCommand.EngineCount count =
                            count(process, engine, ofPredecessors, knownIndex);
                    // The one who asked may be stopped meanwhile.
                    long stopped = random.nextInt(4) == 0 ? random.nextLong(2_000 * MS) : 0;
                    sim.schedule(sim.now + stopped, () -> submit(sender, count));
                });
    }

    private static BudgetCommand.EngineCount count(
            ProcessEntry process, SimulatedEngine engine, boolean ofPredecessors, long knownIndex) {
        String name = process.name();
        long session = process.session();
        return new BudgetCommand.EngineCount(
                engine.name,
                engine.incarnation,
                name,
                session,
                ofPredecessors,
                knownIndex,
                engine.count(name, session, ofPredecessors),
                ofPredecessors && engine.allConnectionsClosed(name, session));
    }
}
