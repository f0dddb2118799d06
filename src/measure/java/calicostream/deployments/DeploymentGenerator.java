// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.deployments.GeneratedDeployment.Allowed;
import calicostream.deployments.GeneratedDeployment.Estimates;
import calicostream.deployments.GeneratedDeployment.Figures;
import calicostream.deployments.GeneratedDeployment.Kind;
import calicostream.deployments.GeneratedDeployment.Lane;
import calicostream.deployments.GeneratedDeployment.Machines;
import calicostream.deployments.GeneratedDeployment.Size;
import calicostream.deployments.GeneratedDeployment.Telling;
import calicostream.deployments.GeneratedDeployment.Trouble;
import calicostream.deployments.GeneratedDeployment.What;
import calicostream.routing.Idempotency;
import calicostream.routing.IdempotencyScope;
import calicostream.routing.LoadReporting;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;

/** Draws deployments from the ranges that the protocol allows; seed and number decide one. */
final class DeploymentGenerator {
    private static final long S = 1_000_000;
    private static final long MS = 1_000;
    private static final List<String> FIELDS = List.of("inflight", "queue", "util", "x0", "x1");
    private static final int MEDIUM = 15; // in a hundred draws
    private static final int LARGE = 4;
    private static final double QUERIES =
            1_000; // of a play, unless it would be too short or too long for troubles
    private final SplittableRandom random;

    private DeploymentGenerator(long seed, int number) {
        random = new SplittableRandom(seed * 1_000_003 + number);
        random.nextLong();
    }

    static GeneratedDeployment of(long seed, int number) {
        DeploymentGenerator d = new DeploymentGenerator(seed, number);
        Size size = d.size();
        List<Kind> kinds = d.kinds();
        List<Lane> lanes = d.lanes(size, kinds.size());
        size = size.lasting((long) (QUERIES / Arrivals.perSecond(size, kinds, lanes) * S));
        Machines machines = d.machines(size);
        kinds = withMemory(kinds, lanes, machines);
        Telling telling = d.telling();
        return new GeneratedDeployment(
                seed,
                number,
                size,
                telling,
                d.allowed(telling.how()),
                d.figures(size, kinds, lanes),
                machines,
                kinds,
                lanes,
                d.troubles(size));
    }

    private double in(double from, double to) {
        return from + (to - from) * random.nextDouble();
    }

    private int whole(int from, int to) {
        return random.nextInt(from, to + 1);
    }

    private long time(long from, long to) {
        return random.nextLong(from, to + 1);
    }

    private boolean chance(double share) {
        return random.nextDouble() < share;
    }

    private <T> T one(List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    private Size size() {
        int draw = random.nextInt(100);
        double load = chance(0.15) ? in(1, 1.25) : in(0.35, 0.95);
        double swing = in(0, 0.3);
        int zones = whole(1, 3);
        if (draw < LARGE) {
            return new Size(whole(8, 14), whole(40, 60), zones, load, swing, 6 * S);
        }
        if (draw < LARGE + MEDIUM) {
            return new Size(whole(3, 8), whole(12, 24), zones, load, swing, 8 * S);
        }
        return new Size(whole(1, 3), whole(6, 10), zones, load, swing, 10 * S);
    }

    private List<Kind> kinds() {
        List<Kind> out = new ArrayList<>();
        for (int i = whole(1, 2); i > 0; i--) {
            out.add(new Kind(one(List.of(4, 8, 12, 16)), 0));
        }
        return out;
    }

    private List<Lane> lanes(Size size, int kinds) {
        List<Lane> out = new ArrayList<>();
        out.add(
                lane(
                        "lookup",
                        size,
                        kinds,
                        in(10, 18),
                        in(40, 170) * MS,
                        1,
                        in(0.5, 0.8) * S,
                        in(2, 4) * S,
                        1,
                        Idempotency.IDEMPOTENT,
                        false));
        out.add(
                lane(
                        "report",
                        size,
                        kinds,
                        in(1.5, 4),
                        in(1000, 5000) * MS,
                        whole(1, 4),
                        in(1, 2) * S,
                        in(10, 20) * S,
                        in(4, 10),
                        Idempotency.IDEMPOTENT,
                        false));
        if (chance(0.8)) {
            out.add(
                    lane(
                            "load",
                            size,
                            kinds,
                            in(0.6, 1.5),
                            in(1000, 3200) * MS,
                            whole(1, 2),
                            in(2, 4) * S,
                            in(12, 25) * S,
                            in(4, 8),
                            Idempotency.NON_IDEMPOTENT,
                            true));
        }
        if (chance(0.4)) {
            out.add(
                    lane(
                            "update",
                            size,
                            kinds,
                            in(1, 3),
                            in(100, 800) * MS,
                            1,
                            in(0.5, 2) * S,
                            in(3, 8) * S,
                            in(1, 3),
                            chance(0.7)
                                    ? Idempotency.IDEMPOTENT_WITH_KEY
                                    : Idempotency.NON_IDEMPOTENT,
                            false));
        }
        return out;
    }

    private Lane lane(
            String name,
            Size size,
            int kinds,
            double share,
            double work,
            int threads,
            double aim,
            double deadline,
            double worth,
            Idempotency effect,
            boolean load) {
        List<Integer> zones =
                size.zones() > 1 && chance(0.12)
                        ? List.of(random.nextInt(size.zones()))
                        : List.of();
        List<Integer> on = kinds > 1 && chance(0.12) ? List.of(random.nextInt(kinds)) : List.of();
        boolean ordered = effect != Idempotency.IDEMPOTENT && chance(0.6);
        return new Lane(
                name,
                share,
                work,
                in(0.3, 1.1),
                in(0.2, 0.65),
                in(40, 400),
                threads,
                (long) aim,
                in(1.5, 2.5),
                (long) deadline,
                worth,
                in(0.1, 0.6),
                effect,
                one(List.of(IdempotencyScope.values())),
                time(1 * S, 8 * S),
                ordered,
                load,
                !load && chance(0.5),
                zones,
                on,
                Math.exp(in(-0.7, 0.7)));
    }

    private Machines machines(Size size) {
        return new Machines(
                one(List.of(GeneratedDeployment.Short.values())),
                in(0.5, 0.9),
                in(0.5, 0.9),
                in(1.3, 1.9),
                in(0.48, 0.9),
                in(0.2, 0.5),
                in(1.7, 3.3),
                whole(3, 6),
                in(0.3, 0.7),
                (int) (size.engines() * in(1.8, 2.8)),
                in(0.4, 0.8),
                whole(6, 10),
                chance(0.5) ? 0 : in(0, 0.002));
    }

    /**
     * As much memory that the stated part of it is in use at full load; a run lasts half as long
     * again as alone.
     */
    private static List<Kind> withMemory(List<Kind> kinds, List<Lane> lanes, Machines machines) {
        double work = lanes.stream().mapToDouble(l -> l.share() * l.workUs()).sum();
        double held =
                lanes.stream()
                                .mapToDouble(
                                        l -> l.share() * l.workUs() / l.threads() * l.memoryMb())
                                .sum()
                        * 1.5
                        / work;
        double most = lanes.stream().mapToDouble(Lane::memoryMb).max().orElse(0);
        return kinds.stream()
                .map(
                        k ->
                                new Kind(
                                        k.cores(),
                                        Math.max(
                                                4 * most,
                                                k.cores()
                                                        * GeneratedDeployment.CAPACITY
                                                        * held
                                                        / machines.memoryUse())))
                .toList();
    }

    private Telling telling() {
        List<String> fields = new ArrayList<>(FIELDS);
        Collections.shuffle(fields, new Random(random.nextLong()));
        fields = List.copyOf(fields.subList(0, whole(1, 4)));
        LoadReporting how =
                one(
                        List.of(
                                LoadReporting.WITH_ANSWERS,
                                LoadReporting.WITH_ANSWERS,
                                LoadReporting.ON_PROBE,
                                LoadReporting.ON_PROBE,
                                LoadReporting.NONE));
        return new Telling(
                how,
                how == LoadReporting.NONE ? List.of() : fields,
                time(100 * MS, 700 * MS),
                time(10 * MS, 300 * MS),
                in(0.02, 0.15),
                one(List.of(Estimates.values())),
                chance(0.4),
                chance(0.3) ? 0 : time(500 * MS, 2 * S),
                chance(0.3),
                time(300 * MS, 3 * S));
    }

    private Allowed allowed(LoadReporting how) {
        boolean cancel = chance(0.5);
        return new Allowed(
                chance(how == LoadReporting.ON_PROBE ? 0.9 : 0.5),
                in(4, 10),
                cancel,
                cancel && chance(0.7),
                one(List.of(1, 2, 3, 5, 6)),
                chance(0.5),
                chance(0.5),
                in(0.25, 0.5),
                chance(0.5));
    }

    private Figures figures(Size size, List<Kind> kinds, List<Lane> lanes) {
        boolean rationed = chance(0.6);
        List<Double> quotas = new ArrayList<>();
        List<Double> traffic = new ArrayList<>();
        if (chance(0.4)) {
            double queries = Arrivals.perSecond(size, kinds, lanes);
            for (int i = whole(2, 4); i > 0; i--) {
                double part = in(0.2, 1);
                traffic.add(part);
                quotas.add(queries * part * in(0.2, 1.5));
            }
        }
        return new Figures(
                in(0.25, 0.5),
                in(3, 5),
                time(1000 * MS, 2500 * MS),
                time(8 * S, 15 * S),
                time(200 * MS, 600 * MS),
                time(250 * MS, 500 * MS),
                20 * MS,
                rationed ? whole(2, 6) : 0,
                rationed ? in(0.05, 0.3) : 0,
                rationed ? 10 * S : 0,
                chance(0.5) ? in(0.005, 0.05) : 0,
                chance(0.3) ? in(0.02, 0.1) : 0,
                one(List.of(1 * MS, 5 * MS)),
                in(0.1, 0.5),
                quotas,
                traffic);
    }

    private List<Trouble> troubles(Size size) {
        List<Trouble> out = new ArrayList<>();
        for (int i = whole(0, 3); i > 0; i--) {
            What what = one(List.of(What.values()));
            long at = time(1 * S, size.lengthUs() / 2);
            switch (what) {
                case ROLL:
                    out.add(new Trouble(what, at, time(8 * S, 20 * S), in(0.4, 0.95)));
                    break;
                case REPORTS_LATE:
                    out.add(new Trouble(what, at, time(8 * S, 20 * S), in(0.75, 4.5)));
                    break;
                case LIST_LATE:
                    out.add(new Trouble(what, at, time(8 * S, 20 * S), in(1, 4)));
                    break;
                case RESTART:
                    out.add(new Trouble(what, at, time(1 * S, 4 * S), in(0.3, 0.6)));
                    break;
                case CRASH:
                    out.add(new Trouble(what, at, time(4 * S, 8 * S), in(0.1, 0.3)));
                    break;
                case CUT:
                    out.add(new Trouble(what, at, time(3 * S, 8 * S), 1));
                    break;
                default:
                    out.add(new Trouble(what, at, time(5 * S, 12 * S), in(0.1, 0.25)));
            }
        }
        return out;
    }
}
