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
 * A fleet in virtual time from one seed: processes, engines, links, the log, its leader's clock and
 * the arbiter. The checker looks at the engines' own counts after each event and knows nothing of
 * grants but which cap is in force.
 */
final class FleetSimulation {
    static final long MS = 1_000_000;

    private record Event(long at, long order, Runnable run) {}

    static final int FAULT_KINDS = 11;

    /**
     * What happens of itself.
     *
     * @param kinds a bit for each kind of mishap that there is
     * @param everyMillis between two mishaps
     */
    record Faults(
            boolean isEnabled,
            boolean isQuorumLost,
            double lossProbability,
            double duplicateProbability,
            double stallProbability,
            int kinds,
            int intervalMillis) {
        static final Faults NONE = new Faults(false, false, 0, 0, 0, 0, 0);
        static final Faults ALL =
                new Faults(true, true, 0.05, 0.05, 0.01, (1 << FAULT_KINDS) - 1, 150);

        /** All but the log's: a bound on time holds only while there is one. */
        static final Faults WITH_QUORUM =
                new Faults(true, false, 0.05, 0.05, 0.01, (1 << FAULT_KINDS) - 1, 150);
    }

    final BudgetSettings settings;
    final Faults faults;
    final Set<Safeguard> disabledSafeguards;
    final SplittableRandom random;
    final List<SimulatedEngine> engines = new ArrayList<>();
    final List<SimulatedProcess> processes = new ArrayList<>();
    final GrantStateMachine machine;
    final TreeMap<String, Integer> refusals = new TreeMap<>();
    final TreeMap<String, Integer> injected = new TreeMap<>();

    /** From a call-back until the process can begin nothing more by it. */
    final List<Long> reclaims = new ArrayList<>();

    /** From a call-back until the engine's room is free, with what ran on ended. */
    final List<Long> releases = new ArrayList<>();

    private final TreeMap<String, Long> seenNumber = new TreeMap<>();
    private final TreeMap<String, Long> calledBack = new TreeMap<>();
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
    private long era;
    private GrantExpiryMonitor leader;
    private double leaderRate;
    private boolean quorum = true;
    private long token;
    private int arbiterAt;
    private GrantCoordinator arbiter;
    long commands;
    long steps;
    String violation;

    FleetSimulation(
            BudgetSettings settings,
            int[] caps,
            Faults faults,
            Set<Safeguard> out,
            long seed,
            SimulatedProcess.Load load) {
        this.settings = settings;
        this.faults = faults;
        this.disabledSafeguards = out;
        this.random = new SplittableRandom(seed);
        this.machine = new GrantStateMachine(settings, out);
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
        moveArbiter();
        engines.forEach(this::tell);
        processes.forEach(SimulatedProcess::start);
        every(50 * MS, this::count);
        every(100 * MS, this::divide);
        if (faults.isEnabled) {
            every(faults.intervalMillis * MS, this::mishap);
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
        EngineEntry book = machine.ledger().engines().get(engine.name);
        if (book != null && book.incarnation() == engine.incarnation) {
            engine.capInForce = book.cap();
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
        if (!faults.isEnabled) {
            return random.nextLong(100_000, MS);
        }
        return random.nextDouble() < faults.stallProbability
                ? random.nextLong(4_000 * MS)
                : random.nextLong(100_000, 20 * MS);
    }

    void injected(String kind) {
        injected.merge(kind, 1, Integer::sum);
    }

    /**
     * A command on its way to the log, and its answer on the way back; either may be lost, late or
     * doubled.
     */
    void submit(long session, byte[] body, Consumer<CommandEffects> answer) {
        submit(session, body, answer, 0, 0);
    }

    /**
     * @param deafUntil until when the sender hears nothing, or only later, though it is heard
     */
    void submit(
            long session,
            byte[] body,
            Consumer<CommandEffects> answer,
            long dumbUntil,
            long deafUntil) {
        if (now < dumbUntil) {
            return;
        }
        boolean[] applied = new boolean[1];
        int copies = random.nextDouble() < faults.duplicateProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= faults.lossProbability) {
                schedule(
                        now + delay(),
                        () -> {
                            // the layer below applies what is numbered once
                            if (quorum && !applied[0]) {
                                applied[0] = true;
                                CommandEffects effects = apply(new Command(session, 1, 0, body));
                                for (int j =
                                                random.nextDouble() < faults.duplicateProbability
                                                        ? 2
                                                        : 1;
                                        j > 0;
                                        j--) {
                                    if (random.nextDouble() >= faults.lossProbability
                                            && (now >= deafUntil || random.nextBoolean())) {
                                        schedule(
                                                (now >= deafUntil
                                                                ? now
                                                                : deafUntil
                                                                        + random.nextLong(500 * MS))
                                                        + delay(),
                                                () -> answer.accept(effects));
                                    }
                                }
                            }
                        });
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
            EngineEntry book = machine.ledger().engines().get(name);
            if (disabledSafeguards.isEmpty() && committed > book.cap()) {
                violation =
                        name
                                + " has "
                                + committed
                                + " committed of "
                                + book.cap()
                                + " at index "
                                + index;
            }
        }
        lookAtReclaims();
        return effects;
    }

    private void lookAtReclaims() {
        machine.ledger()
                .processes()
                .forEach(
                        (name, process) ->
                                process.allocations()
                                        .forEach(
                                                (engine, held) -> {
                                                    int granted = held.granted();
                                                    look(
                                                            name + "@" + engine,
                                                            held.maxUsableSum() > granted,
                                                            reclaims);
                                                    look(
                                                            name + "@" + engine + " room",
                                                            held.maxUsableSum() > granted
                                                                    || calledBack.containsKey(
                                                                                    name + "@"
                                                                                            + engine
                                                                                            + " room")
                                                                            && held.inUse()
                                                                                    > Math.max(
                                                                                            granted,
                                                                                            machine.ledger()
                                                                                                            .floor(
                                                                                                                    name,
                                                                                                                    engine)
                                                                                                    - held
                                                                                                            .orphaned()),
                                                            releases);
                                                }));
    }

    private void look(String key, boolean owes, List<Long> into) {
        if (owes) {
            calledBack.putIfAbsent(key, now);
        } else if (calledBack.containsKey(key)) {
            into.add(now - calledBack.remove(key));
        }
    }

    private void without(long nanos) {
        quorum = false;
        schedule(
                now + nanos,
                () -> {
                    quorum = true;
                    elect();
                });
    }

    private void elect() {
        leader = new GrantExpiryMonitor(settings, machine);
        leaderRate = 1 + (random.nextDouble() * 2 - 1) * settings.driftPpm() / 1e6;
        leader.epochStarted(++era, (long) (now * leaderRate));
    }

    private void count() {
        if (quorum) {
            leader.expiredCommands((long) (now * leaderRate))
                    .forEach(body -> apply(new Command(0, 0, era, body)));
        }
    }

    private void moveArbiter() {
        token++;
        arbiterAt = random.nextInt(processes.size());
        arbiter = new GrantCoordinator(settings);
    }

    private void divide() {
        SimulatedProcess seat = processes.get(arbiterAt);
        long sent = token;
        if (seat.isStopped() || !seat.isUp()) {
            return;
        }
        GrantStateMachine view = new GrantStateMachine(settings, disabledSafeguards);
        view.restore(machine.snapshot());
        for (BudgetCommand.Allocate divide : arbiter.allocate(view, sent)) {
            submit(seat.session(), divide.encode(), effects -> {});
        }
        if (faults.isEnabled) {
            if (random.nextInt(20) == 0) {
                mad(view, sent, seat.session());
            }
            view.ledger()
                    .processes()
                    .forEach(
                            (name, process) -> {
                                engines.forEach(engine -> ask(view, seat, name, process, engine));
                                seenNumber.put(name, process.reportNumber());
                            });
        }
    }

    /** An arbiter that gives whatever it likes. */
    private void mad(GrantStateMachine view, long sent, long session) {
        injected("mad division");
        List<BudgetCommand.Grant> shares = new ArrayList<>();
        view.ledger()
                .processes()
                .forEach(
                        (name, process) -> {
                            SimulatedEngine engine = engines.get(random.nextInt(engines.size()));
                            shares.add(
                                    new BudgetCommand.Grant(
                                            name,
                                            process.session(),
                                            engine.name,
                                            engine.incarnation,
                                            settings.tenants()
                                                    .get(random.nextInt(settings.tenants().size()))
                                                    .name(),
                                            random.nextInt(engine.cap + 1)));
                        });
        submit(session, new BudgetCommand.Allocate(sent, shares).encode(), effects -> {});
    }

    /**
     * The engine is asked what it runs of a process that is silent or was started anew, now and
     * then of one that is neither.
     */
    private void ask(
            GrantStateMachine view,
            SimulatedProcess seat,
            String name,
            ProcessEntry process,
            SimulatedEngine engine) {
        boolean former = process.hasPredecessors() && random.nextBoolean();
        long over = former ? process.predecessorsExpiredAtIndex() : process.expiredAtIndex();
        boolean silent = seenNumber.getOrDefault(name, -1L) == process.reportNumber();
        if (process.session() == 0 || over == 0 && random.nextInt(silent ? 2 : 20) != 0) {
            return; // the impatient ask before it is time
        }
        long seen = view.ledger().appliedIndex();
        if (random.nextInt(silent ? 3 : 60) == 0) { // a member without the right to
            submit(
                    seat.session(),
                    new BudgetCommand.Expire(
                                    name, process.session(), former, process.reportNumber())
                            .encode(),
                    effects -> {});
        }
        schedule(
                now + delay(),
                () -> {
                    BudgetCommand.EngineCount count =
                            new BudgetCommand.EngineCount(
                                    engine.name,
                                    engine.incarnation,
                                    name,
                                    process.session(),
                                    former,
                                    seen,
                                    engine.count(name, process.session(), former),
                                    former && engine.allConnectionsClosed(name, process.session()));
                    long kept =
                            random.nextInt(4) == 0
                                    ? random.nextLong(2_000 * MS)
                                    : 0; // the asker may be stopped meanwhile
                    schedule(
                            now + kept,
                            () -> submit(seat.session(), count.encode(), effects -> {}));
                });
    }

    private void tell(SimulatedEngine engine) {
        long incarnation = engine.incarnation;
        int cap = engine.cap;
        submit(
                1_000_000,
                new BudgetCommand.UpdateEngine(engine.name, incarnation, engine.pool, cap).encode(),
                effects -> {});
        schedule(
                now + 500 * MS,
                () -> { // until the machine has it
                    EngineEntry book = machine.ledger().engines().get(engine.name);
                    if (engine.incarnation == incarnation
                            && engine.cap == cap
                            && (book == null
                                    || book.incarnation() != incarnation
                                    || book.requestedCap() != cap)) {
                        tell(engine);
                    }
                });
    }

    private void mishap() {
        int kind = random.nextInt(FAULT_KINDS);
        switch ((faults.kinds >> kind & 1) == 0 ? FAULT_KINDS : kind) {
            case FAULT_KINDS -> {}
            case 0, 9 -> {
                injected("process stopped");
                processes
                        .get(random.nextInt(processes.size()))
                        .stop(
                                random.nextLong(
                                        50 * MS, random.nextBoolean() ? 4_000 * MS : 900 * MS),
                                random.nextBoolean());
            }
            case 1 -> {
                if (random.nextInt(3) == 0) {
                    injected("process killed");
                    processes.get(random.nextInt(processes.size())).crash();
                }
            }
            case 2 -> {
                if (random.nextInt(3) == 0) {
                    SimulatedEngine engine = engines.get(random.nextInt(engines.size()));
                    injected("engine replaced");
                    engine.replace(now);
                    processes.forEach(process -> process.reset(engine));
                    tell(engine);
                }
            }
            case 3 -> {
                SimulatedEngine engine = engines.get(random.nextInt(engines.size()));
                injected("cap changed");
                engine.cap =
                        settings.processes().size() * settings.pool(engine.pool).floor()
                                + random.nextInt(30);
                tell(engine);
            }
            case 4 -> {
                injected("arbiter moved");
                moveArbiter();
            }
            case 5 -> {
                if (faults.isQuorumLost) {
                    injected("leader moved");
                    without(random.nextLong(1_000 * MS));
                }
            }
            case 6 -> {
                if (faults.isQuorumLost && random.nextInt(6) == 0) {
                    injected("no quorum");
                    without(random.nextLong(4_000 * MS));
                }
            }
            case 7 -> {
                if (random.nextInt(6) == 0) {
                    injected("planned stop");
                    processes.get(random.nextInt(processes.size())).leave();
                }
            }
            case 8 -> {
                int ways = random.nextInt(1, 4);
                injected(ways == 3 ? "link cut" : "link cut one way");
                processes
                        .get(random.nextInt(processes.size()))
                        .cut((ways & 1) != 0, (ways & 2) != 0, random.nextLong(3_000 * MS));
            }
            default -> {
                byte[] snapshot =
                        machine.snapshot(); // a copy that starts from a snapshot goes on alike
                machine.restore(snapshot);
                injected("snapshot restored");
            }
        }
    }
}
