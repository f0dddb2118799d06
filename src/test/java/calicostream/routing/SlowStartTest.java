// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.engine;
import static calicostream.routing.RecordingActions.lookupClass;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What engines that are warming up are sent by one gateway and by all together. */
class SlowStartTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    /** Returns the same deployment's settings for another gateway. */
    private static RouterSettings gatewaySettings(RouterSettings settings, int index) {
        return new RouterSettings(
                settings.gateways(),
                index,
                0,
                settings.costs(),
                settings.engineKinds(),
                settings.classes(),
                settings.tenants(),
                1,
                settings.attemptLimits(),
                settings.protectionRules(),
                settings.engineCapabilities(),
                settings.loadReporting(),
                false,
                settings.tickUs());
    }

    @Test
    void warmingUpEngineGetsOnlyThisGatewaysPartWithinTheWindow() {
        double[] work = new double[2];
        for (int gateways = 1; gateways <= 2; gateways++) {
            RecordingActions gateway =
                    new RecordingActions(RecordingActions.settings(gateways, LOOKUP));
            gateway.endpoints(
                    EndpointUpdate.COMPLETE, engine(1, gateway.now, EngineLifecycle.READY));
            for (int i = 0; i < 400; i++) {
                gateway.accept(i, 0);
                if (!gateway.attempts.isEmpty() && gateway.lastOf(i) != null) {
                    gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
                }
                gateway.advance(4 * MILLIS);
            }
            work[gateways - 1] = gateway.attempts.size() * 0.1;
            double mayTake = 2.5 * 0.3 * 8 * 2 / gateways;
            assertTrue(
                    work[gateways - 1] > 0 && work[gateways - 1] < mayTake,
                    work[gateways - 1] + " s of work");
        }
        assertTrue(work[0] > 1.5 * work[1]);
    }

    @Test
    void restartedGatewayAssumesItsPartOfAWarmingUpEngineIsSpent() {
        RecordingActions gateway = new RecordingActions(RecordingActions.settings(1, LOOKUP));
        gateway.endpoints(
                EndpointUpdate.CACHED, engine(1, gateway.now - SECONDS, EngineLifecycle.READY));
        gateway.accept(1, 0);
        assertTrue(gateway.attempts.isEmpty());
        gateway.advance(1900 * MILLIS);
        gateway.accept(2, 0);
        assertTrue(gateway.attempts.isEmpty());
        gateway.advance(200 * MILLIS);
        gateway.accept(3, 0);
        assertFalse(gateway.attempts.isEmpty());
    }

    /**
     * Many gateways together, of one process or two: in no window is a warming-up engine sent more
     * than the rule allows.
     */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 1", "7, 1", "40, 1", "300, 1", "1, 2", "3, 2", "40, 2"})
    void allGatewaysTogetherKeepAWarmingUpEngineWithinItsCapacity(int gateways, int processes) {
        RouterSettings s = RecordingActions.settings(gateways, LOOKUP);
        double limit =
                s.protectionRules().slowStartMultiple()
                        * s.protectionRules().slowStartShare()
                        * 8
                        * s.protectionRules().slowStartWindowUs();
        TreeMap<Long, Double> sent = new TreeMap<>();
        for (int i = 0; i < gateways * processes; i++) {
            int g = i / processes;
            RecordingActions gateway = new RecordingActions(gatewaySettings(s, g));
            gateway.router.processesChanged(gateway.now, processes, i % processes);
            gateway.endpoints(
                    EndpointUpdate.COMPLETE,
                    engine(1, RecordingActions.START, EngineLifecycle.READY));
            int ended = 0;
            for (int q = 0; q < 90; q++) {
                gateway.accept(q, 0, 0, 0, 1, 2 * SECONDS);
                gateway.advance(100 * MILLIS);
                for (;
                        ended < gateway.attempts.size();
                        ended++) { // Queued ones, too, which go in the gateway's turn.
                    sent.merge(gateway.attempts.get(ended).at(), 2.0 * SECONDS, Double::sum);
                    gateway.end(gateway.attempts.get(ended), AttemptOutcome.OK, 2000, 50);
                }
            }
        }
        double most = 0;
        for (long from : sent.keySet()) {
            most =
                    Math.max(
                            most,
                            sent
                                    .subMap(from, from + s.protectionRules().slowStartWindowUs())
                                    .values()
                                    .stream()
                                    .mapToDouble(Double::doubleValue)
                                    .sum());
        }
        assertTrue(
                most > 0 && most <= limit,
                most / SECONDS + " of " + limit / SECONDS + " core-seconds");
        double all = sent.values().stream().mapToDouble(Double::doubleValue).sum();
        double budget =
                SlowStartLimiter.USED_SHARE
                        * SlowStartLimiter.CORE_YIELD
                        * limit
                        * 9
                        * SECONDS
                        / s.protectionRules().slowStartWindowUs();
        double least = gateways * processes > 2 ? 0.7 : 0.6; // Two have a query and a half each.
        assertTrue(
                all > least * budget, all / SECONDS + " of " + budget / SECONDS + " core-seconds");
    }

    /**
     * Front ends that have just started know nothing of heavy queries: a warming-up engine takes
     * them all the same, within the rule.
     */
    @Test
    void queriesOfUnknownWorkHaveTheirTurnsAtAWarmingUpEngine() {
        RouterSettings s = RecordingActions.settings(40, LOOKUP, LOOKUP);
        TreeMap<Long, Double> sent = new TreeMap<>();
        int heavy = 0;
        for (int g = 0; g < 40; g++) {
            RecordingActions gateway = new RecordingActions(gatewaySettings(s, g));
            gateway.endpoints(
                    EndpointUpdate.COMPLETE,
                    engine(1, RecordingActions.START, EngineLifecycle.READY));
            int ended = 0;
            for (int q = 0; q < 36; q++) {
                boolean isHeavy = q % 4 == 3;
                gateway.accept(q, isHeavy ? 1 : 0, 0, 0, 1, isHeavy ? 0 : 100 * MILLIS);
                gateway.advance(250 * MILLIS);
                for (; ended < gateway.attempts.size(); ended++) {
                    boolean wasHeavy = gateway.attempts.get(ended).query() % 4 == 3;
                    heavy += wasHeavy ? 1 : 0;
                    sent.merge(
                            gateway.attempts.get(ended).at(),
                            wasHeavy ? 1.0 * SECONDS : 0.1 * SECONDS,
                            Double::sum);
                    gateway.end(gateway.attempts.get(ended), AttemptOutcome.OK);
                }
            }
        }
        assertTrue(heavy > 10, heavy + " heavy queries in 9 s of 40 front ends");
        double limit =
                s.protectionRules().slowStartMultiple()
                        * s.protectionRules().slowStartShare()
                        * 8
                        * s.protectionRules().slowStartWindowUs();
        sent.keySet()
                .forEach(
                        from -> {
                            double work =
                                    sent
                                            .subMap(
                                                    from,
                                                    from + s.protectionRules().slowStartWindowUs())
                                            .values()
                                            .stream()
                                            .mapToDouble(d -> d)
                                            .sum();
                            assertTrue(
                                    work <= limit,
                                    work / SECONDS + " of " + limit / SECONDS + " core-seconds");
                        });
    }

    /**
     * Light queries of one class that a warming-up engine takes in a row, after 20 s in which two
     * light classes, and a heavy one with every twentieth query, ran in 100 ms each; the answers
     * tell the work where {@code told}.
     */
    private static int lightQueriesToWarmingUpEngine(boolean told, double light, double heavy) {
        RecordingActions gateway =
                RecordingActions.with(RecordingActions.settings(1, LOOKUP, LOOKUP, LOOKUP), 3);
        for (int q = 0; q < 400; q++) {
            double cost = q % 20 == 0 ? heavy : light;
            gateway.accept(q, q % 20 == 0 ? 2 : q % 2, 0, 0, 1, cost);
            gateway.advance(100 * MILLIS);
            gateway.end(gateway.lastOf(q), AttemptOutcome.OK, told ? cost / MILLIS : 0, 50);
        }
        gateway.endpoints(EndpointUpdate.COMPLETE, engine(9, gateway.now, EngineLifecycle.READY));
        int taken = 0;
        for (gateway.accept(1000, 1, 0, 0, 1, light);
                gateway.last(1000 + taken) && taken < 100;
                gateway.accept(1000 + taken, 1, 0, 0, 1, light)) {
            RecordingActions.Attempt sent = gateway.last();
            gateway.router.attemptEnded(
                    gateway.now,
                    new AttemptResult(
                            sent.query(),
                            sent.attempt(),
                            sent.engine(),
                            AttemptOutcome.OK,
                            true,
                            100 * MILLIS,
                            told ? light / MILLIS : 0,
                            50,
                            null));
            taken++;
        }
        return taken;
    }

    /**
     * Two light classes have 5.7 of 13.7 s of the work: one of them alone may use up what is
     * both's, and no more.
     */
    @Test
    void lightClassesShareTheirPartOfAWarmingUpEngine() {
        double both =
                SlowStartLimiter.USED_SHARE
                        * SlowStartLimiter.CORE_YIELD
                        * 2.5
                        * 0.3
                        * 8
                        * 2
                        * 5.7
                        / 13.7;
        int taken = lightQueriesToWarmingUpEngine(true, 300 * MILLIS, 8 * SECONDS);
        assertTrue(
                taken * 0.3 > 0.8 * both && taken * 0.3 < 1.1 * both,
                taken + " of 0.3 s, " + both + " s allowed");
    }

    /**
     * Estimates thirty times too high, which no answer sets right, do not keep a warming-up engine
     * empty.
     */
    @Test
    void runTimesBoundRoughEstimatesAtAWarmingUpEngine() {
        double most = SlowStartLimiter.USED_SHARE * SlowStartLimiter.CORE_YIELD * 2.5 * 0.3 * 8 * 2;
        int taken = lightQueriesToWarmingUpEngine(false, 3 * SECONDS, 3 * SECONDS);
        assertTrue(
                taken * 0.1 > 0.9 * most && taken * 0.1 <= most,
                taken + " of 0.1 s, " + most + " s allowed");
    }
}
