// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A hundred front ends that can't talk and eighty engines, in virtual time. */
class FleetSimulationTest {
    private static final long S = 1_000_000;
    private static final long SEED = 20261201;

    /**
     * Seventy front ends start in the same second, in the middle of a release, and know nothing of
     * each other.
     */
    @ParameterizedTest
    @CsvSource({"100", "80", "130"})
    void aColdEngineIsSparedByAllTogetherHoweverManyStart(int told) {
        SimulatedFleet fleet =
                SimulatedFleet.ofModules(SimulatedFleet.Shape.usual().told(told), SEED);
        fleet.run(10 * S);
        List<FleetEngineModel> cold = FleetRuns.herd(fleet);
        fleet.run(14 * S);
        double peak = FleetRuns.peak(cold);
        double most =
                told >= 100
                        ? 1
                        : 100.0 / told; // Fewer told than there are: the part of each is too large.
        assertTrue(peak > 0 && peak <= most, "peak " + peak);
        assertEquals(Map.of(), fleet.violations());
    }

    /**
     * Thirty have a thirtieth each, and their turns must not add up to more than the rule allows,
     * also where they all have just started.
     */
    @Test
    void thirtyFrontEndsTogetherSpareAFewColdEngines() {
        for (long seed = SEED; seed < SEED + 3; seed++) {
            SimulatedFleet fleet = SimulatedFleet.ofModules(SimulatedFleet.Shape.throng(), seed);
            fleet.run(10 * S);
            List<FleetEngineModel> cold = FleetRuns.throng(fleet);
            fleet.run(14 * S);
            double peak = FleetRuns.peak(cold);
            assertTrue(peak > 0 && peak <= 1, "seed " + seed + ": peak " + peak);
            assertEquals(Map.of(), fleet.violations(), "seed " + seed);
        }
    }

    @Test
    void coldEnginesAreUsedWhereTheyAreNeeded() {
        SimulatedFleet fleet = SimulatedFleet.ofModules(SimulatedFleet.Shape.usual(), SEED);
        fleet.run(10 * S);
        List<FleetEngineModel> cold = FleetRuns.join(fleet);
        fleet.run(14 * S);
        double use = FleetRuns.use(fleet, cold);
        assertTrue(use > 0.5, "use " + use);
        assertTrue(FleetRuns.peak(cold) <= 1, "peak " + FleetRuns.peak(cold));
        assertEquals(Map.of(), fleet.violations());
    }

    @Test
    void theyDoNotHerdAndKeepToFewConnections() {
        SimulatedFleet modules = SimulatedFleet.ofModules(SimulatedFleet.Shape.usual(), SEED);
        SimulatedFleet chance = SimulatedFleet.byChance(SimulatedFleet.Shape.usual(), SEED);
        FleetRuns.settled(30 * S, modules, chance);
        String figures = modules.fullest(0.99) + " against " + chance.fullest(0.99);
        assertTrue(modules.fullest(0.99) < chance.fullest(0.99), figures);
        double handshakes = modules.perQuery(g -> g.handshakes);
        assertTrue(handshakes < 0.2, handshakes + " handshakes a query");
        assertEquals(Map.of(), modules.violations());
    }

    @Test
    void theyStayInTheirZoneWhileItsEnginesAreEasy() {
        SimulatedFleet fleet = SimulatedFleet.ofModules(SimulatedFleet.Shape.usual(), SEED);
        fleet.run(30 * S);
        double crossed = fleet.perQuery(g -> g.crossed);
        assertTrue(crossed < 0.25, crossed + " of the queries cross zones");
        assertTrue(fleet.perQuery(g -> g.served) > 0.9);
        assertEquals(Map.of(), fleet.violations());
    }

    /**
     * Its engines drain together: their front ends go elsewhere, and nothing is sent to a drained
     * one.
     */
    @Test
    void aZoneThatLosesItsEnginesIsServedByTheOthers() {
        SimulatedFleet fleet = SimulatedFleet.ofModules(SimulatedFleet.Shape.usual(), SEED);
        fleet.run(10 * S);
        fleet.engines().stream().filter(e -> e.zone == 1).forEach(fleet::drain);
        fleet.run(30 * S);
        long refused =
                fleet.gateways().stream()
                        .filter(g -> g.zone == 1)
                        .mapToLong(g -> g.refused + g.failed)
                        .sum();
        long asked =
                fleet.gateways().stream().filter(g -> g.zone == 1).mapToLong(g -> g.asked).sum();
        assertTrue(refused < 0.05 * asked, refused + " of " + asked + " turned away");
        assertEquals(Map.of(), fleet.violations());
    }

    /**
     * Few front ends before many engines: turns at cold engines that waste half of the allowance
     * leave them idle beside full ones.
     */
    @Test
    void aVastFleetUsesItsColdEnginesAndKeepsTheRules() {
        for (long seed = SEED; seed < SEED + 3; seed++) {
            SimulatedFleet join = SimulatedFleet.ofModules(SimulatedFleet.Shape.vast(), seed);
            SimulatedFleet zone = SimulatedFleet.ofModules(SimulatedFleet.Shape.vast(), seed);
            join.run(10 * S);
            zone.run(10 * S);
            List<FleetEngineModel> cold = FleetRuns.vastJoin(join);
            List<FleetEngineModel> back = FleetRuns.vastZone(zone);
            String run = "seed " + seed + ": ";
            assertEquals(Map.of(), join.violations(), run);
            assertEquals(Map.of(), zone.violations(), run);
            assertTrue(
                    FleetRuns.peak(cold) <= 1 && FleetRuns.peak(back) <= 1,
                    run + FleetRuns.peak(cold) + ", " + FleetRuns.peak(back));
            assertTrue(FleetRuns.use(join, cold) > 0.5, run + FleetRuns.use(join, cold));
            assertTrue(FleetRuns.use(zone, back) > 0.5, run + FleetRuns.use(zone, back));
        }
    }
}
