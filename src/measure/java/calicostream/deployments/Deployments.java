// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.routing.AffinityRouter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Many draws of one seed, each played with the decision module and with the plainest policy of
 * least load.
 */
public final class Deployments {
    static final double MOST_PROBES =
            2; // a query, over a play: two engines asked for each, at a point in 100 of service at
    // the dearest
    static final double MOST_OVER = 0.01; // of probes beyond what an engine answers
    private static final double WANTED = 0.95;

    /** One draw and what came of it. */
    record Played(
            GeneratedDeployment draw, DeploymentRun.Result module, DeploymentRun.Result plain) {
        double ratio() {
            return plain.served() > 0 ? module.served() / plain.served() : 1;
        }

        boolean probesInBounds() {
            return module.probesPerQuery() <= MOST_PROBES && module.overProbed() <= MOST_OVER;
        }

        boolean isSound() {
            return module.breaks().count() == 0 && probesInBounds();
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "seed %d draw %d: served %.3f plain %.3f ratio %.3f probes/query %.2f over %.3f"
                        + " refused %.3f (plain %.3f) failed %.3f (plain %.3f) cold %.2f queries %d"
                        + " breaks [%s] (plain [%s]); %s",
                    draw.seed(),
                    draw.number(),
                    module.served(),
                    plain.served(),
                    ratio(),
                    module.probesPerQuery(),
                    module.overProbed(),
                    module.refused(),
                    plain.refused(),
                    module.failed(),
                    plain.failed(),
                    module.coldPeak(),
                    module.queries(),
                    module.breaks(),
                    plain.breaks(),
                    draw.brief());
        }
    }

    private Deployments() {}

    static Played play(long seed, int number) {
        GeneratedDeployment draw = DeploymentGenerator.of(seed, number);
        return new Played(
                draw,
                DeploymentRun.of(draw, AffinityRouter::new),
                DeploymentRun.of(draw, LeastLoaded::new));
    }

    /** Plays so many draws on all processors; what comes of them is in their order. */
    static List<Played> play(long seed, int from, int count) {
        return IntStream.range(from, from + count)
                .parallel()
                .mapToObj(number -> play(seed, number))
                .toList();
    }

    /** Plays one draw alone and tells all of it. */
    public static void replay(long seed, int number, Consumer<String> out) {
        Played played = play(seed, number);
        out.accept(played.draw().toString());
        out.accept(played.toString());
        out.accept("module " + played.module().byLane());
        out.accept("plain " + played.plain().byLane());
    }

    /**
     * The figures' line; each draw that breaks a rule, or serves too little, is told with what
     * replays it.
     */
    public static String figures(long seed, int count, Consumer<String> out) {
        List<Played> all = play(seed, 0, count);
        for (Played each : all) {
            if (!each.isSound() || each.ratio() < WANTED) {
                out.accept(each.toString());
                if (!each.isSound()) {
                    out.accept("  " + each.draw());
                }
            }
        }
        return line(seed, all);
    }

    static String line(long seed, List<Played> all) {
        int violations = all.stream().mapToInt(p -> p.module().breaks().count()).sum();
        int order = all.stream().mapToInt(p -> p.module().breaks().count("order")).sum();
        boolean bounded = all.stream().allMatch(Played::probesInBounds);
        List<String> out = new ArrayList<>();
        out.add("drawn=" + all.size());
        out.add("violations=" + violations);
        out.add("order_breaks=" + order);
        out.add("probes_in_bounds=" + (bounded ? 1 : 0));
        out.add(
                String.format(
                        Locale.ROOT,
                        "worst_ratio=%.3f",
                        all.stream().mapToDouble(Played::ratio).min().orElse(0)));
        out.add(
                String.format(
                        Locale.ROOT,
                        "mean_ratio=%.3f",
                        all.stream().mapToDouble(Played::ratio).average().orElse(0)));
        out.add("seed=" + seed);
        return "deployments " + String.join(" ", out);
    }
}
