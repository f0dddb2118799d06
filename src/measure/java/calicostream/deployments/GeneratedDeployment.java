// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.routing.Idempotency;
import calicostream.routing.IdempotencyScope;
import calicostream.routing.LoadReporting;
import java.util.List;
import java.util.Locale;

/**
 * One deployment as drawn, its troubles included; its text is the whole draw. Times are
 * microseconds.
 */
record GeneratedDeployment(
        long seed,
        int number,
        Size size,
        Telling telling,
        Allowed allowed,
        Figures figures,
        Machines machines,
        List<Kind> kinds,
        List<Lane> lanes,
        List<Trouble> troubles) {
    /** Work of a core, as a share of its time, at what counts as an engine's full load. */
    static final double CAPACITY = 0.75;

    enum Estimates {
        NONE,
        ROUGH,
        GOOD
    }

    /**
     * What happens where the memory granted would pass what there is; the settings' words are in
     * {@link SettingsWriter}.
     */
    enum Short {
        WAIT,
        CUT,
        OVERCOMMIT
    }

    enum What {
        ROLL,
        HANG,
        CRASH,
        SLOW,
        CUT,
        REPORTS_LATE,
        LIST_LATE,
        RESTART
    }

    /**
     * {@code load}: of what all engines do at full load; {@code swing}: part by which it goes up
     * and down.
     */
    record Size(int frontEnds, int engines, int zones, double load, double swing, long lengthUs) {
        /** The same for longer, if that is not too long. */
        Size lasting(long us) {
            return new Size(
                    frontEnds,
                    engines,
                    zones,
                    load,
                    swing,
                    Math.max(lengthUs, Math.min(us, 2 * lengthUs)));
        }
    }

    /** What front ends hear; {@code fields} in the order of the reports. */
    record Telling(
            LoadReporting how,
            List<String> fields,
            long periodUs,
            long delayUs,
            double noise,
            Estimates estimates,
            boolean tellsCost,
            long noteUs,
            boolean onRequest,
            long listLateUs) {}

    /** What front ends may do; {@code stops}: what is cancelled or out of time stops running. */
    record Allowed(
            boolean probes,
            double probesPerCore,
            boolean cancel,
            boolean stops,
            int maxAttempts,
            boolean priorities,
            boolean grants,
            double mostGrant,
            boolean clientRetries) {}

    /**
     * Figures of the rules and the prices; {@code quotas}: queries a second of each tenant, beside
     * its part of the traffic.
     */
    record Figures(
            double coldShare,
            double multiple,
            long windowUs,
            long warmUpUs,
            long restUs,
            long drainUs,
            long graceUs,
            double free,
            double ratio,
            long rationUs,
            double crossZone,
            double handshake,
            long tickUs,
            double overShareWorth,
            List<Double> quotas,
            List<Double> traffic) {}

    /** How engines run queries. */
    record Machines(
            Short whenShort,
            double memoryUse,
            double diskUse,
            double knee,
            double thrash,
            double seek,
            double spill,
            int warmGroups,
            double warmGain,
            int groups,
            double zipf,
            int sessionsPerCore,
            double errors) {}

    record Kind(int cores, double memoryMb) {}

    /**
     * A class of queries; {@code io}: part of the work that reads or writes, {@code bias}: of its
     * estimates.
     */
    record Lane(
            String name,
            double share,
            double workUs,
            double spread,
            double io,
            double memoryMb,
            int threads,
            long aimUs,
            double stretch,
            long deadlineUs,
            double worth,
            double lateWorth,
            Idempotency effect,
            IdempotencyScope scope,
            long windowUs,
            boolean inOrder,
            boolean load,
            boolean waits,
            List<Integer> zones,
            List<Integer> kinds,
            double bias) {}

    /**
     * {@code part}: of the engines or front ends concerned; of times that come late, the delay in
     * seconds.
     */
    record Trouble(What what, long at, long lengthUs, double part) {}

    /** The kind of the engine of this number: every zone has engines of every kind. */
    int kindOf(int engine) {
        return engine / size.zones % kinds.size();
    }

    double meanWork() {
        double shares = lanes.stream().mapToDouble(Lane::share).sum();
        return lanes.stream().mapToDouble(l -> l.share * l.workUs).sum() / shares;
    }

    /** Part of all work that reads or writes. */
    double meanIo() {
        double shares = lanes.stream().mapToDouble(Lane::share).sum();
        return lanes.stream().mapToDouble(l -> l.share * l.workUs * l.io).sum()
                / shares
                / meanWork();
    }

    /** What of it matters most, in a few words. */
    String brief() {
        return String.format(
                Locale.ROOT,
                "%dx%d load %.2f, reports %s%s%s, estimates %s%s%s, %s%s%s%s, attempts %d%s, memory"
                        + " %s, %s",
                size.frontEnds,
                size.engines,
                size.load,
                telling.how,
                telling.fields,
                allowed.probes ? " probes" : "",
                telling.estimates,
                telling.tellsCost ? " told" : "",
                telling.noteUs > 0 ? " notes" : "",
                allowed.cancel ? allowed.stops ? "stops" : "cancel" : "no cancel",
                allowed.priorities ? " priorities" : "",
                allowed.grants ? " grants" : "",
                telling.onRequest ? " list on request" : "",
                allowed.maxAttempts,
                figures.rationUs > 0 ? " rationed" : "",
                machines.whenShort,
                troubles.stream().map(Trouble::what).toList());
    }

    /** The same with other troubles, which a test needs. */
    GeneratedDeployment with(List<Trouble> others) {
        return new GeneratedDeployment(
                seed, number, size, telling, allowed, figures, machines, kinds, lanes, others);
    }
}
