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
 * A fleet in virtual time from one seed: processes, engines, connections, the replicated log, its
 * leader's clock and the coordinator. The checker looks at the engines' own counts after each event
 * and knows nothing of grants except which cap is in force.
 */
final class FleetSimulation {
    static final long MS = 1_000_000;

    private record Event(long at, long order, Runnable run) {}

    final BudgetSettings settings;
    final FaultPlan faults;
    final Set<Safeguard> disabledSafeguards;
    final SplittableRandom random;
    final List<SimulatedEngine> engines = new ArrayList<>();
    final List<SimulatedProcess> processes = new ArrayList<>();
    final GrantStateMachine machine;
    final TreeMap<String, Integer> refusals = new TreeMap<>();
    final TreeMap<String, Integer> injected = new TreeMap<>();

    /** Times from a lowered grant until the process could start nothing more by the old one. */
    final List<Long> reclaims = new ArrayList<>();

    /** Times from a lowered grant until the sessions of the old one had ended too. */
    final List<Long> releases = new ArrayList<>();

    final SimulatedCoordinator coordinator;
    private final ReclaimRecorder reclaimRecorder = new ReclaimRecorder();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private long order;
    long now;
    long index;
    long nextSession = 1;
    private long epoch;
    private GrantExpiryMonitor leader;
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
        elect();
        coordinator.move();
        engines.forEach(this::announce);
        processes.forEach(SimulatedProcess::start);
        every(50 * MS, this::expireGrants);
        every(100 * MS, coordinator::runRound);
        if (faults.isEnabled()) {
            every(faults.intervalMillis() * MS, new FaultInjector(this)::inject);
        }
    }

    void run(long until) {
        while (violation == null && !events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            now = event.at;
            steps++;
            event.run.run();
            engines.forEach(this::check);
        }
        now = until;
    }

    private void check(SimulatedEngine engine) {
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
                            + now / MS
                            + " ms";
        }
    }

    void schedule(long when, Runnable run) {
        events.add(new Event(Math.max(when, now), order++, run));
    }

    private void every(long period, Runnable run) {
        schedule(
                now + period,
                () -> {
                    run.run();
                    every(period, run);
                });
    }

    long delay() {
        if (!faults.isEnabled()) {
            return random.nextLong(100_000, MS);
        }
        return random.nextDouble() < faults.stallProbability()
                ? random.nextLong(4_000 * MS)
                : random.nextLong(100_000, 20 * MS);
    }

    void injected(String kind) {
        injected.merge(kind, 1, Integer::sum);
    }

    /** Sends a command to the log; it and its answer may be lost, late or duplicated. */
    void submit(long session, byte[] body, Consumer<CommandEffects> answer) {
        submit(session, body, answer, 0, 0);
    }

    /**
     * The same over a link that may be cut.
     *
     * @param cannotSendUntil until when commands are lost
     * @param cannotReceiveUntil until when answers are lost, or delayed until after then
     */
    void submit(
            long session,
            byte[] body,
            Consumer<CommandEffects> answer,
            long cannotSendUntil,
            long cannotReceiveUntil) {
        if (now < cannotSendUntil) {
            return;
        }
        Submission submission = new Submission(session, body, answer, cannotReceiveUntil);
        int copies = random.nextDouble() < faults.duplicateProbability() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= faults.lossProbability()) {
                schedule(now + delay(), submission::arrive);
            }
        }
    }

    /** A command that was sent to the log; the cluster's sessions apply each once. */
    private final class Submission {
        private final long session;
        private final byte[] body;
        private final Consumer<CommandEffects> answer;
        private final long cannotReceiveUntil;
        private boolean isApplied;

        Submission(
                long session,
                byte[] body,
                Consumer<CommandEffects> answer,
                long cannotReceiveUntil) {
            this.session = session;
            this.body = body;
            this.answer = answer;
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
                schedule(now + delay(), () -> answer.accept(effects));
            } else if (random.nextBoolean()) {
                long received = cannotReceiveUntil + random.nextLong(500 * MS) + delay();
                schedule(received, () -> answer.accept(effects));
            }
        }
    }

    private CommandEffects apply(Command command) {
        commands++;
        CommandEffects effects = machine.apply(++index, command);
        if (!effects.isAccepted()) {
            refusals.merge(effects.rejectionCode(), 1, Integer::sum);
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

    /** The log has no quorum for that time; then a leader is elected. */
    void loseQuorum(long nanos) {
        hasQuorum = false;
        schedule(
                now + nanos,
                () -> {
                    hasQuorum = true;
                    elect();
                });
    }

    private void elect() {
        leader = new GrantExpiryMonitor(settings, machine);
        leaderClockRate = 1 + (random.nextDouble() * 2 - 1) * settings.driftPpm() / 1e6;
        leader.epochStarted(++epoch, (long) (now * leaderClockRate));
    }

    private void expireGrants() {
        if (hasQuorum) {
            leader.expiredCommands((long) (now * leaderClockRate))
                    .forEach(body -> apply(new Command(0, 0, epoch, body)));
        }
    }

    /** Submits the engine as it is now, until the state machine has it. */
    void announce(SimulatedEngine engine) {
        long incarnation = engine.incarnation;
        int cap = engine.cap;
        submit(
                1_000_000,
                new BudgetCommand.UpdateEngine(engine.name, incarnation, engine.pool, cap).encode(),
                effects -> {});
        schedule(
                now + 500 * MS,
                () -> {
                    EngineEntry entry = machine.ledger().engines().get(engine.name);
                    if (engine.incarnation == incarnation
                            && engine.cap == cap
                            && (entry == null
                                    || entry.incarnation() != incarnation
                                    || entry.requestedCap() != cap)) {
                        announce(engine);
                    }
                });
    }
}
