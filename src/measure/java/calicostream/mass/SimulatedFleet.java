// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import calicostream.routing.AffinityRouter;
import calicostream.routing.AttemptLimits;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineCapabilities;
import calicostream.routing.EngineKind;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.Idempotency;
import calicostream.routing.IdempotencyScope;
import calicostream.routing.LoadReporting;
import calicostream.routing.ProtectionRules;
import calicostream.routing.QueryClass;
import calicostream.routing.QueryRouter;
import calicostream.routing.RouterActions;
import calicostream.routing.RouterSettings;
import calicostream.routing.RoutingCosts;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiFunction;

/**
 * A fleet of front ends and engines over some virtual time; the accounts are read when {@link #run}
 * returns.
 */
final class SimulatedFleet {
    /**
     * What is drawn: numbers, queries a second over all, the rules, and the time a client waits.
     */
    record Shape(
            int gateways,
            int gatewaysTold,
            int engines,
            int zones,
            double queriesPerS,
            ProtectionRules rules,
            RoutingCosts fees,
            long deadlineUs,
            long listLateUs) {
        static Shape usual() {
            return new Shape(
                    100,
                    100,
                    80,
                    4,
                    700,
                    new ProtectionRules(0.3, 4, 2_000_000, 14_000_000, 0, 0, 0, 0),
                    new RoutingCosts(0.04, 0.08),
                    60_000_000,
                    0);
        }

        /** Few front ends before many engines, and a list that comes late. */
        static Shape vast() {
            Shape usual = usual();
            return new Shape(
                    14, 14, 60, 2, 480, usual.rules, usual.fees, usual.deadlineUs, 2_000_000);
        }

        /** Thirty front ends before a few engines, which they keep full. */
        static Shape throng() {
            Shape usual = usual();
            return new Shape(
                    30, 30, 8, 2, 70, usual.rules, usual.fees, usual.deadlineUs, 2_000_000);
        }

        Shape told(int number) {
            return new Shape(
                    gateways,
                    number,
                    engines,
                    zones,
                    queriesPerS,
                    rules,
                    fees,
                    deadlineUs,
                    listLateUs);
        }

        Shape zones(int number) {
            return new Shape(
                    gateways,
                    gatewaysTold,
                    engines,
                    number,
                    queriesPerS,
                    rules,
                    fees,
                    deadlineUs,
                    listLateUs);
        }
    }

    static final double CAPACITY = 0.75; // work of a core at what counts as an engine's capacity
    static final int ATTEMPTS = 5;
    static final long LATE = 500_000;
    static final long NEAR = 200;
    static final long FAR = 1_000;
    static final long LONGEST_WAY = 3 * FAR; // with a new connection
    static final long IDLE = 21_000_000;
    static final int CORES = 10;
    private static final int GROUPS = 60;
    private static final double[] WORK = {
        60_000, 2_400_000, 2_000_000
    }; // core-us: lookup, report, load
    private static final int[] THREADS = {1, 4, 2};
    final FleetClock time = new FleetClock();
    final Shape shape;
    private final SplittableRandom random;
    private final Map<Long, FleetEngineModel> engines = new LinkedHashMap<>();
    final SimulatedDiscovery list;
    private final List<SimulatedFrontEnd> gateways = new ArrayList<>();
    private final double[] shares;
    private final Map<String, Integer> violations = new TreeMap<>();
    private final BiFunction<Integer, RouterActions, QueryRouter> maker;
    private final List<Double> fullest = new ArrayList<>();
    private long queries;
    private long nextEngine = 1000;

    /** With the decision module in each gateway. */
    static SimulatedFleet ofModules(Shape shape, long seed) {
        return new SimulatedFleet(
                shape,
                seed,
                (index, actions) -> new AffinityRouter(settings(shape, index), actions));
    }

    /** With a choice by chance among all engines listed as ready in each. */
    static SimulatedFleet byChance(Shape shape, long seed) {
        return new SimulatedFleet(
                shape, seed, (index, actions) -> new RandomChoice(actions, seed + index));
    }

    private SimulatedFleet(
            Shape shape, long seed, BiFunction<Integer, RouterActions, QueryRouter> maker) {
        this.shape = shape;
        this.maker = maker;
        random = new SplittableRandom(seed);
        list = new SimulatedDiscovery(time, new SplittableRandom(seed + 1), shape.listLateUs);
        shares = new double[shape.gateways];
        double all = 0;
        for (int i = 0; i < shares.length; i++) { // Some see several times the mean.
            shares[i] = Math.exp(0.7 * gaussian());
            all += shares[i];
        }
        for (int i = 0; i < shares.length; i++) {
            shares[i] /= all;
        }
        for (int i = 0; i < shape.engines; i++) {
            add(0);
        }
        for (int i = 0; i < shape.gateways; i++) {
            gateways.add(null);
            start(i);
            arrivals(i);
        }
        look();
        idle();
    }

    private double gaussian() {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return sum;
    }

    private static RouterSettings settings(Shape shape, int index) {
        List<QueryClass> classes = new ArrayList<>();
        for (int i = 0; i < WORK.length; i++) {
            classes.add(
                    new QueryClass(
                            5_000_000,
                            2.5,
                            shape.deadlineUs,
                            i == 0 ? 1 : 6,
                            0.3,
                            i == 2 ? Idempotency.NON_IDEMPOTENT : Idempotency.IDEMPOTENT,
                            IdempotencyScope.ALL,
                            shape.deadlineUs,
                            false,
                            false,
                            THREADS[i],
                            i == 2,
                            i != 2,
                            List.of(),
                            List.of()));
        }
        return new RouterSettings(
                shape.gatewaysTold,
                index,
                index % shape.zones,
                shape.fees,
                List.of(new EngineKind(CORES, 16_384)),
                classes,
                List.of(),
                0.1,
                new AttemptLimits(false, true, ATTEMPTS),
                shape.rules,
                new EngineCapabilities(false, true, 0.4, 0),
                LoadReporting.WITH_ANSWERS,
                false,
                1000);
    }

    // ---- What happens
    // -----------------------------------------------------------------------------------
    /** A front end begins, knowing nothing but the list. */
    void start(int index) {
        SimulatedFrontEnd g = new SimulatedFrontEnd(this, index, index % shape.zones, maker);
        gateways.set(index, g);
        g.roster(
                EndpointUpdate.CACHED,
                engines.values().stream()
                        .filter(e -> e.state != EngineLifecycle.REMOVED)
                        .map(FleetEngineModel::entry)
                        .toList());
        g.reader = list.follow(index, changed -> g.roster(EndpointUpdate.INCREMENTAL, changed));
    }

    void kill(int index) {
        gateways.get(index).kill();
    }

    /** An engine begins, cold, and the list tells it to all. */
    FleetEngineModel add(long bornUs) {
        FleetEngineModel e =
                new FleetEngineModel(
                        time, shape, nextEngine++, engines.size() % shape.zones, CORES, bornUs);
        engines.put(e.id, e);
        list.tell(e.entry());
        return e;
    }

    /** One engine is told to drain; it has gone some time later. */
    void drain(FleetEngineModel e) {
        e.state = EngineLifecycle.DRAINING;
        list.tell(e.entry());
        time.after(
                7_000_000,
                () -> {
                    e.state = EngineLifecycle.REMOVED;
                    list.tell(e.entry());
                });
    }

    /** Its process dies with what it runs, which the list tells late, and comes back cold. */
    void lose(FleetEngineModel e, long toldAfter, long backAfter) {
        e.die();
        time.after(toldAfter, () -> list.tell(e.entry()));
        time.after(
                backAfter,
                () -> {
                    e.bornUs = time.now();
                    e.state = EngineLifecycle.READY;
                    list.tell(e.entry());
                });
    }

    private void arrivals(int index) {
        double mean = 1e6 / (shape.queriesPerS * shares[index]);
        time.after(
                (long) (-mean * Math.log(1 - random.nextDouble())),
                () -> {
                    SimulatedFrontEnd g = gateways.get(index);
                    if (g.alive) {
                        double draw = random.nextDouble();
                        int queryClass = draw < 0.7 ? 0 : draw < 0.9 ? 1 : 2;
                        g.ask(queryClass, (int) (GROUPS * Math.pow(random.nextDouble(), 1.7)));
                    }
                    arrivals(index);
                });
    }

    private void look() {
        List<FleetEngineModel> warm =
                engines.values().stream()
                        .filter(e -> e.state == EngineLifecycle.READY && !e.cold())
                        .toList();
        double mean = warm.stream().mapToDouble(FleetEngineModel::load).average().orElse(0);
        double most = warm.stream().mapToDouble(FleetEngineModel::load).max().orElse(0);
        if (mean > 0) {
            fullest.add(most / mean);
        }
        time.after(100_000, this::look);
    }

    private void idle() {
        gateways.stream().filter(g -> g.alive).forEach(SimulatedFrontEnd::closeIdle);
        time.after(500_000, this::idle);
    }

    void run(long us) {
        time.run(time.now() + us);
    }

    // ---- What the parts ask
    // -----------------------------------------------------------------------------
    long nextQuery() {
        return ++queries;
    }

    FleetEngineModel engine(long id) {
        return engines.get(id);
    }

    boolean isOnce(int queryClass) {
        return queryClass == 2;
    }

    double work(int queryClass) {
        return WORK[queryClass] * Math.exp(0.5 * gaussian() - 0.125);
    }

    double usualWork(int queryClass) {
        return WORK[queryClass];
    }

    int threads(int queryClass) {
        return THREADS[queryClass];
    }

    void violation(String what) {
        violations.merge(what, 1, Integer::sum);
    }

    // ---- Accounts
    // -----------------------------------------------------------------------------------------
    int violationCount() {
        return violations.values().stream().mapToInt(Integer::intValue).sum();
    }

    Map<String, Integer> violations() {
        return violations;
    }

    List<FleetEngineModel> engines() {
        return List.copyOf(engines.values());
    }

    List<SimulatedFrontEnd> gateways() {
        return gateways;
    }

    /** Load of the fullest engine against the mean one, at the given share of the looks. */
    double fullest(double quantile) {
        List<Double> sorted = fullest.stream().sorted().toList();
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    void forgetLooks() {
        fullest.clear();
    }

    double perQuery(java.util.function.ToLongFunction<SimulatedFrontEnd> of) {
        return gateways.stream().mapToLong(of).sum()
                / (double) Math.max(1, gateways.stream().mapToLong(g -> g.asked).sum());
    }
}
