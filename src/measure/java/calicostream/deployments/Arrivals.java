// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.deployments.GeneratedDeployment.Estimates;
import calicostream.deployments.GeneratedDeployment.Lane;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** What clients ask for in a draw, the same whichever policy plays it. */
final class Arrivals {
    private static final long KEY_GAP = 60_000; // us between requests of one key, at least
    private static final double KEY_BUSY =
            0.3; // part of the time that a key's requests run, at most
    private static final double ROUGH = 0.6; // deviation of the log of an estimate
    private static final double GOOD = 0.1;
    private final GeneratedDeployment draw;
    private final SplittableRandom random;
    private final double[] traffic;
    private final double[] groups;
    private final List<Integer> keys = new ArrayList<>();
    private final TreeMap<Long, Long> keyAt = new TreeMap<>();
    private final double[] tokens;
    private long tokensAt;

    private Arrivals(GeneratedDeployment draw) {
        this.draw = draw;
        random = new SplittableRandom(draw.seed() * 7 + draw.number());
        traffic = new double[draw.size().frontEnds()];
        Arrays.setAll(traffic, i -> Math.exp(0.4 * random.nextGaussian()));
        groups = new double[draw.machines().groups()];
        Arrays.setAll(groups, i -> Math.pow(i + 1, -draw.machines().zipf()));
        tokens = new double[draw.figures().quotas().size()];
        double shares = draw.lanes().stream().mapToDouble(Lane::share).sum();
        double perSecond = perSecond(draw.size(), draw.kinds(), draw.lanes());
        draw.lanes()
                .forEach(
                        l ->
                                keys.add(
                                        (int)
                                                Math.ceil(
                                                        perSecond
                                                                * l.share()
                                                                / shares
                                                                * l.workUs()
                                                                / 1e6
                                                                / KEY_BUSY)));
    }

    /** Queries a second over all front ends that make the load drawn. */
    static double perSecond(
            GeneratedDeployment.Size size, List<GeneratedDeployment.Kind> kinds, List<Lane> lanes) {
        double cores = 0;
        for (int i = 0; i < size.engines(); i++) {
            cores += kinds.get(i / size.zones() % kinds.size()).cores();
        }
        double shares = lanes.stream().mapToDouble(Lane::share).sum();
        double work = lanes.stream().mapToDouble(l -> l.share() * l.workUs()).sum() / shares;
        return size.load() * GeneratedDeployment.CAPACITY * cores * 1e6 / work;
    }

    static List<GeneratedRequest> of(GeneratedDeployment draw, long start) {
        Arrivals arrivals = new Arrivals(draw);
        List<GeneratedRequest> out = new ArrayList<>();
        double mean = 1e6 / perSecond(draw.size(), draw.kinds(), draw.lanes());
        double at = start;
        arrivals.tokensAt = start;
        while (at < start + draw.size().lengthUs()) {
            double swing = 1 + draw.size().swing() * Math.sin((at - start) / 1.3e6);
            at -= mean / swing * Math.log(1 - arrivals.random.nextDouble());
            out.add(arrivals.next((long) at));
        }
        return out;
    }

    private int one(double[] shares) {
        double draw = random.nextDouble() * Arrays.stream(shares).sum();
        for (int i = 0; i < shares.length - 1; i++) {
            draw -= shares[i];
            if (draw < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    private GeneratedRequest next(long at) {
        int number = one(draw.lanes().stream().mapToDouble(Lane::share).toArray());
        Lane lane = draw.lanes().get(number);
        int frontEnd = one(traffic);
        double work = lane.workUs() * logNormal(lane.spread());
        double memory = lane.memoryMb() * logNormal(0.5);
        Estimates told = draw.telling().estimates();
        double off = told == Estimates.ROUGH ? ROUGH : GOOD;
        double bias = told == Estimates.ROUGH ? lane.bias() : 1;
        double toldWork = told == Estimates.NONE ? 0 : work * bias * logNormal(off);
        double toldMemory = told == Estimates.NONE ? 0 : memory * bias * logNormal(off);
        long key = 0;
        boolean named =
                random.nextDouble() < 0.95; // A few name none, and some where there is no order.
        if (lane.inOrder() == named) {
            long drawn = 1 + number * 100_000L + random.nextInt(Math.max(1, keys.get(number)));
            boolean free = at - keyAt.getOrDefault(drawn, 0L) >= KEY_GAP;
            key = free || !lane.inOrder() ? drawn : 0;
            keyAt.put(drawn, at);
            frontEnd = lane.inOrder() ? (int) (drawn % draw.size().frontEnds()) : frontEnd;
        }
        int tenant =
                tokens.length == 0
                        ? 0
                        : one(draw.figures().traffic().stream().mapToDouble(d -> d).toArray());
        double worth = lane.worth() * (within(at, tenant) ? 1 : draw.figures().overShareWorth());
        long wait = (long) (lane.deadlineUs() * (0.8 + 0.2 * random.nextDouble()));
        return new GeneratedRequest(
                at,
                frontEnd,
                number,
                tenant,
                key,
                one(groups),
                work,
                memory,
                toldWork,
                toldMemory,
                at + wait,
                worth,
                lane.aimUs() + (long) (lane.stretch() * work / lane.threads()));
    }

    /** With mean 1. */
    private double logNormal(double deviation) {
        return Math.exp(deviation * random.nextGaussian() - deviation * deviation / 2);
    }

    /** Whether a tenant is within its share, a second of which it may save up. */
    private boolean within(long at, int tenant) {
        for (int i = 0; i < tokens.length; i++) {
            double quota = draw.figures().quotas().get(i);
            tokens[i] = Math.min(quota, tokens[i] + quota * (at - tokensAt) / 1e6);
        }
        tokensAt = at;
        if (tokens.length == 0) {
            return true;
        }
        tokens[tenant] = Math.max(0, tokens[tenant] - 1);
        return tokens[tenant] > 0;
    }
}
