// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Runs that tests and the measurement share. */
public final class FleetRuns {
    private static final int REPLACED = 20;
    private static final int MOST_REPLACED = 48;
    private static final int ACCEPTED =
            100; // connections that an engine of the model accepts: one for each front end
    private static final long S = 1_000_000;

    private FleetRuns() {}

    /**
     * So many front ends are killed at once and start again 3 s later, all in one second, while
     * engines are replaced.
     */
    static List<FleetEngineModel> storm(SimulatedFleet fleet, int killed, int replaced) {
        List<FleetEngineModel> old = fleet.engines();
        List<FleetEngineModel> cold = new ArrayList<>();
        for (int i = 0; i < killed; i++) {
            fleet.kill(i);
        }
        for (int i = 0; i < replaced; i++) {
            FleetEngineModel e = old.get(i);
            fleet.time.after(i * S / 10, () -> cold.add(fleet.add(fleet.time.now())));
            fleet.time.after(S + i * S / 10, () -> fleet.drain(e));
        }
        fleet.run(3 * S);
        for (int i = 0; i < killed; i++) {
            int index = i;
            fleet.time.after(i * S / killed, () -> fleet.start(index));
        }
        fleet.run(S);
        return cold;
    }

    static List<FleetEngineModel> herd(SimulatedFleet fleet) {
        return storm(fleet, 70, REPLACED);
    }

    /**
     * Two in three of thirty front ends are killed at once, while half of the few engines are
     * replaced.
     */
    static List<FleetEngineModel> throng(SimulatedFleet fleet) {
        return storm(fleet, 20, 4);
    }

    /** Six in ten engines are replaced: the cold ones are needed. */
    static List<FleetEngineModel> join(SimulatedFleet fleet) {
        return storm(fleet, 0, MOST_REPLACED);
    }

    /**
     * Six in ten engines of the vast fleet are replaced within 7 s, while the list's source goes
     * away for 3 s.
     */
    static List<FleetEngineModel> vastJoin(SimulatedFleet fleet) {
        List<FleetEngineModel> old = fleet.engines();
        List<FleetEngineModel> cold = new ArrayList<>();
        int replaced = old.size() * 6 / 10;
        for (int i = 0; i < replaced; i++) {
            FleetEngineModel e = old.get(i);
            fleet.time.after(i * 7 * S / replaced, () -> cold.add(fleet.add(fleet.time.now())));
            fleet.time.after(S + i * 7 * S / replaced, () -> fleet.drain(e));
        }
        fleet.time.after(2 * S, () -> fleet.list.leave(3 * S));
        fleet.run(24 * S);
        return cold;
    }

    /**
     * A zone's engines die at once, which the list tells after 4 s, and are back cold after 5 s.
     */
    static List<FleetEngineModel> vastZone(SimulatedFleet fleet) {
        List<FleetEngineModel> lost = fleet.engines().stream().filter(e -> e.zone == 1).toList();
        lost.forEach(e -> fleet.lose(e, 4 * S, 5 * S));
        fleet.run(24 * S);
        return lost;
    }

    /**
     * Runs them for so long past their first seconds, in which all connections are new; those are
     * not looked at.
     */
    static void settled(long us, SimulatedFleet... fleets) {
        for (SimulatedFleet each : fleets) {
            each.run(10 * S);
            each.forgetLooks();
            each.run(us);
        }
    }

    static double peak(List<FleetEngineModel> cold) {
        return cold.stream().mapToDouble(e -> e.coldPeak).max().orElse(0);
    }

    /**
     * Work sent to cold engines against what they could do in that time, which is a part of what
     * the rule allows.
     */
    static double use(SimulatedFleet fleet, List<FleetEngineModel> cold) {
        double windows =
                fleet.shape.rules().warmUpUs() / (double) fleet.shape.rules().slowStartWindowUs();
        return cold.stream()
                .mapToDouble(
                        e ->
                                e.coldWork
                                        * fleet.shape.rules().slowStartMultiple()
                                        / windows
                                        / e.coldAllowance())
                .average()
                .orElse(0);
    }

    /** Figures of the measurement, in order. */
    public static List<String> figures(long seed) {
        SimulatedFleet herd = SimulatedFleet.ofModules(SimulatedFleet.Shape.usual(), seed);
        SimulatedFleet join = SimulatedFleet.ofModules(SimulatedFleet.Shape.usual(), seed);
        herd.run(10 * S);
        join.run(10 * S);
        List<FleetEngineModel> started = herd(herd);
        List<FleetEngineModel> joined = join(join);
        herd.run(14 * S);
        join.run(14 * S);
        SimulatedFleet calm = SimulatedFleet.ofModules(SimulatedFleet.Shape.usual(), seed);
        SimulatedFleet chance = SimulatedFleet.byChance(SimulatedFleet.Shape.usual(), seed);
        settled(50 * S, calm, chance);
        int violations = herd.violationCount() + join.violationCount() + calm.violationCount();
        List<String> out = new ArrayList<>();
        out.add("gateways=" + herd.shape.gateways());
        out.add("engines=" + herd.shape.engines());
        out.add(
                String.format(
                        Locale.ROOT,
                        "cold_peak_ratio=%.2f",
                        Math.max(peak(started), peak(joined))));
        out.add(String.format(Locale.ROOT, "cold_use_ratio=%.2f", use(join, joined)));
        out.add(
                String.format(
                        Locale.ROOT,
                        "connections_ratio=%.2f",
                        Math.max(connections(herd), connections(join))));
        out.add(
                String.format(
                        Locale.ROOT,
                        "herd_p99_ratio=%.2f",
                        calm.fullest(0.99) / chance.fullest(0.99)));
        out.add(
                String.format(
                        Locale.ROOT, "handshakes_a_query=%.3f", calm.perQuery(g -> g.handshakes)));
        out.add(String.format(Locale.ROOT, "crossed=%.3f", calm.perQuery(g -> g.crossed)));
        out.add(String.format(Locale.ROOT, "served=%.3f", calm.perQuery(g -> g.served)));
        out.add("violations=" + violations);
        out.addAll(vastFigures(seed));
        return out;
    }

    private static List<String> vastFigures(long seed) {
        SimulatedFleet join = SimulatedFleet.ofModules(SimulatedFleet.Shape.vast(), seed);
        SimulatedFleet zone = SimulatedFleet.ofModules(SimulatedFleet.Shape.vast(), seed);
        join.run(10 * S);
        zone.run(10 * S);
        List<FleetEngineModel> joined = vastJoin(join);
        List<FleetEngineModel> back = vastZone(zone);
        List<String> out = new ArrayList<>();
        out.add("vast_violations=" + (join.violationCount() + zone.violationCount()));
        out.add(
                String.format(
                        Locale.ROOT,
                        "vast_cold_peak_ratio=%.2f",
                        Math.max(peak(joined), peak(back))));
        out.add(
                String.format(
                        Locale.ROOT,
                        "vast_cold_use_ratio=%.2f",
                        Math.min(use(join, joined), use(zone, back))));
        out.add(
                String.format(
                        Locale.ROOT, "vast_list_calls_ratio=%.2f", join.list.busiestSecond()));
        out.add(
                String.format(
                        Locale.ROOT,
                        "vast_handshakes_per_query=%.3f",
                        join.perQuery(g -> g.handshakes)));
        out.add(
                String.format(
                        Locale.ROOT,
                        "vast_served=%.3f",
                        Math.min(join.perQuery(g -> g.served), zone.perQuery(g -> g.served))));
        return out;
    }

    private static double connections(SimulatedFleet fleet) {
        return fleet.engines().stream().mapToInt(e -> e.mostConnections).max().orElse(0)
                / (double) ACCEPTED;
    }
}
