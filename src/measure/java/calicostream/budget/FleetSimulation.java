// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A simulated fleet in virtual time: processes, engines, connections, the replicated log, its
 * leader's clock and the coordinator. The seed determines the whole run. After each event, the
 * checker compares each engine's running sessions with the cap in force; it uses no other part of
 * the grants.
 */
final class FleetSimulation {
    static final long NANOS_PER_MILLI = 1_000_000;

    private record Event(long time, long sequence, Runnable action) {}

    final BudgetSettings settings;
    final FaultPlan faults;
    final Set<Safeguard> disabledSafeguards;
    final SplittableRandom random;
    final List<SimulatedEngine> engines = new ArrayList<>();
    final List<SimulatedProcess> processes = new ArrayList<>();
    final GrantStateMachine machine;
    final TreeMap<String, Integer> rejections = new TreeMap<>();
    final TreeMap<String, Integer> faultCounts = new TreeMap<>();

    /** Nanoseconds from a lowered grant until the process can no longer use the old grant. */
    final List<Long> reclaims = new ArrayList<>();

    /** Nanoseconds from a lowered grant until the old grant's sessions have ended as well. */
    final List<Long> releases = new ArrayList<>();

    final SimulatedCoordinator coordinator;
    private final ReclaimRecorder reclaimRecorder = new ReclaimRecorder();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.time != b.time
                                    ? Long.compare(a.time, b.time)
                                    : Long.compare(a.sequence, b.sequence));
    private long nextEventSequence;
    long now;
    long index;
    long nextSession = 1;
    private long epoch;
    private GrantExpiryMonitor expiryMonitor;
    private double leaderClockRate;
    private boolean hasQuorum = true;
    long commands;
    long steps;
    String violation;

    FleetSimulation(
            BudgetSettings settings,
            int[] caps,
            FaultPlan faults,
            Set<Safeguard> disabledSafeguards,
            long seed,
            SimulatedClients.Load load) {
        this.settings = settings;
        this.faults = faults;
        this.disabledSafeguards = disabledSafeguards;
        this.random = new SplittableRandom(seed);
        this.machine = new GrantStateMachine(settings, disabledSafeguards);
        this.coordinator = new SimulatedCoordinator(this);
        for (int i = 0; i < caps.length; i++) {
            engines.add(
                    new SimulatedEngine(
                            "e" + i,
                            settings.pools().get(i % settings.pools().size()).name(),
                            caps[i],
                            (seed / 2 + i) % 2 == 0));
        }
        for (String name : settings.processes()) {
            processes.add(new SimulatedProcess(this, name, load));
        }
        electLeader();
        coordinator.transferLease();
        engines.forEach(this::submitEngineUpdate);
        processes.forEach(SimulatedProcess::start);
        scheduleEvery(50 * NANOS_PER_MILLI, this::expireGrants);
        scheduleEvery(100 * NANOS_PER_MILLI, coordinator::runRound);
        if (faults.isEnabled()) {
            scheduleEvery(
                    faults.intervalMillis() * NANOS_PER_MILLI, new FaultInjector(this)::inject);
        }
    }

    void run(long until) {
        while (violation == null && !events.isEmpty() && events.peek().time <= until) {
            Event event = events.poll();
            now = event.time;
            steps++;
            event.action.run();
            engines.forEach(this::checkCap);
        }
        now = until;
    }

    private void checkCap(SimulatedEngine engine) {
        EngineEntry entry = machine.ledger().engines().get(engine.name);
        if (entry != null && entry.incarnation() == engine.incarnation) {
            engine.capInForce = entry.cap();
        }
        if (engine.running > engine.capInForce && violation == null) {
            violation =
                    engine.name
                            + " runs "
                            + engine.running
                            + " with cap "
                            + engine.capInForce
                            + " in force at "
                            + now / NANOS_PER_MILLI
                            + " ms";
        }
    }

    void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(time, now), nextEventSequence++, action));
    }

    private void scheduleEvery(long period, Runnable action) {
        schedule(
                now + period,
                () -> {
                    action.run();
                    scheduleEvery(period, action);
                });
    }

    long randomDelay() {
        if (!faults.isEnabled()) {
            return random.nextLong(100_000, NANOS_PER_MILLI);
        }
        return random.nextDouble() < faults.stallProbability()
                ? random.nextLong(4_000 * NANOS_PER_MILLI)
                : random.nextLong(100_000, 20 * NANOS_PER_MILLI);
    }

    void recordFault(String kind) {
        faultCounts.merge(kind, 1, Integer::sum);
    }

    /** Sends a command to the log; command and response may be lost, delayed or duplicated. */
    void submit(long session, byte[] body, Consumer<CommandEffects> responseHandler) {
        submit(session, body, responseHandler, 0, 0);
    }

    /**
     * Sends a command to the log over a link that may be cut.
     *
     * @param cannotSendUntil time until which commands are lost
     * @param cannotReceiveUntil time until which responses are lost, or are delayed beyond that
     *     time
     */
    void submit(
            long session,
            byte[] body,
            Consumer<CommandEffects> responseHandler,
            long cannotSendUntil,
            long cannotReceiveUntil) {
        if (now < cannotSendUntil) {
            return;
        }
        Submission submission = new Submission(session, body, responseHandler, cannotReceiveUntil);
        int copies = random.nextDouble() < faults.duplicateProbability() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= faults.lossProbability()) {
                schedule(now + randomDelay(), submission::arrive);
            }
        }
    }

    /** A command sent to the log; like the cluster's sessions, it is applied at most once. */
    private final class Submission {
        private final long session;
        private final byte[] body;
        private final Consumer<CommandEffects> responseHandler;
        private final long cannotReceiveUntil;
        private boolean isApplied;

        Submission(
                long session,
                byte[] body,
                Consumer<CommandEffects> responseHandler,
                long cannotReceiveUntil) {
            this.session = session;
            this.body = body;
            this.responseHandler = responseHandler;
            this.cannotReceiveUntil = cannotReceiveUntil;
        }

        void arrive() {
            if (!hasQuorum || isApplied) {
                return;
            }
            isApplied = true;
            CommandEffects effects = apply(new Command(session, 1, 0, body));
            int copies = random.nextDouble() < faults.duplicateProbability() ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                respond(effects);
            }
        }

        private void respond(CommandEffects effects) {
            if (random.nextDouble() < faults.lossProbability()) {
                return;
            }
            if (now >= cannotReceiveUntil) {
                schedule(now + randomDelay(), () -> responseHandler.accept(effects));
            } else if (random.nextBoolean()) {
                long receivedAt =
                        cannotReceiveUntil + random.nextLong(500 * NANOS_PER_MILLI) + randomDelay();
                schedule(receivedAt, () -> responseHandler.accept(effects));
            }
        }
    }

    private CommandEffects apply(Command command) {
        commands++;
        CommandEffects effects = machine.apply(++index, command);
        if (!effects.isAccepted()) {
            rejections.merge(effects.rejectionCode(), 1, Integer::sum);
        }
        for (String name : machine.ledger().engines().keySet()) {
            int committed = machine.ledger().committed(name);
            EngineEntry entry = machine.ledger().engines().get(name);
            if (disabledSafeguards.isEmpty() && committed > entry.cap()) {
                violation =
                        name
                                + " has "
                                + committed
                                + " committed of "
                                + entry.cap()
                                + " at index "
                                + index;
            }
        }
        reclaimRecorder.observe(machine.ledger(), now, reclaims, releases);
        return effects;
    }

    /** Removes the quorum of the log for a time; then a new leader is elected. */
    void loseQuorum(long nanos) {
        hasQuorum = false;
        schedule(
                now + nanos,
                () -> {
                    hasQuorum = true;
                    electLeader();
                });
    }

    private void electLeader() {
        expiryMonitor = new GrantExpiryMonitor(settings, machine);
        leaderClockRate = 1 + (random.nextDouble() * 2 - 1) * settings.driftPpm() / 1e6;
        expiryMonitor.epochStarted(++epoch, (long) (now * leaderClockRate));
    }

    private void expireGrants() {
        if (hasQuorum) {
            expiryMonitor
                    .expiredCommands((long) (now * leaderClockRate))
                    .forEach(body -> apply(new Command(0, 0, epoch, body)));
        }
    }

    /** Submits the engine's current state and retries until the state machine has it. */
    void submitEngineUpdate(SimulatedEngine engine) {
        long incarnation = engine.incarnation;
        int cap = engine.cap;
        submit(
                1_000_000,
                new BudgetCommand.UpdateEngine(engine.name, incarnation, engine.pool, cap).encode(),
                effects -> {});
        schedule(
                now + 500 * NANOS_PER_MILLI,
                () -> {
                    EngineEntry entry = machine.ledger().engines().get(engine.name);
                    if (engine.incarnation == incarnation
                            && engine.cap == cap
                            && (entry == null
                                    || entry.incarnation() != incarnation
                                    || entry.requestedCap() != cap)) {
                        submitEngineUpdate(engine);
                    }
                });
    }
}
