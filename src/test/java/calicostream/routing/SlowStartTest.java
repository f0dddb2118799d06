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

/** Tests the work that one gateway, and all gateways together, send to warming-up engines. */
class SlowStartTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    /** Returns the settings of another gateway in the same deployment. */
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
    void gatewayKeepsToItsShareOfSlowStartAllowance() {
        double[] work = new double[2];
        for (int gateways = 1; gateways <= 2; gateways++) {
            RecordingActions gateway =
                    new RecordingActions(RecordingActions.settings(gateways, LOOKUP));
            gateway.updateEndpoints(
                    EndpointUpdate.COMPLETE, engine(1, gateway.now, EngineLifecycle.READY));
            for (int i = 0; i < 400; i++) {
                gateway.accept(i, 0);
                if (!gateway.attempts.isEmpty() && gateway.lastAttemptOf(i) != null) {
                    gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
                }
                gateway.advance(4 * MILLIS);
            }
            work[gateways - 1] = gateway.attempts.size() * 0.1;
            double maxSeconds = 2.5 * 0.3 * 8 * 2 / gateways;
            assertTrue(
                    work[gateways - 1] > 0 && work[gateways - 1] < maxSeconds,
                    work[gateways - 1] + " s of work");
        }
        assertTrue(work[0] > 1.5 * work[1]);
    }

    @Test
    void restartedGatewayAssumesItsAllowanceIsUsedUp() {
        RecordingActions gateway = new RecordingActions(RecordingActions.settings(1, LOOKUP));
        gateway.updateEndpoints(
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
     * All gateways together, with one or two processes each, must not send a warming-up engine more
     * than the allowed work in any window.
     */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 1", "7, 1", "40, 1", "300, 1", "1, 2", "3, 2", "40, 2"})
    void allGatewaysTogetherStayWithinSlowStartLimit(int gateways, int processes) {
        RouterSettings settings = RecordingActions.settings(gateways, LOOKUP);
        double limit =
                settings.protectionRules().slowStartMultiple()
                        * settings.protectionRules().slowStartShare()
                        * 8
                        * settings.protectionRules().slowStartWindowUs();
        TreeMap<Long, Double> sent = new TreeMap<>();
        for (int i = 0; i < gateways * processes; i++) {
            int gatewayIndex = i / processes;
            RecordingActions gateway =
                    new RecordingActions(gatewaySettings(settings, gatewayIndex));
            gateway.router.processesChanged(gateway.now, processes, i % processes);
            gateway.updateEndpoints(
                    EndpointUpdate.COMPLETE,
                    engine(1, RecordingActions.START_MICROS, EngineLifecycle.READY));
            int endedAttempts = 0;
            for (int id = 0; id < 90; id++) {
                gateway.accept(id, 0, 0, 0, 1, 2 * SECONDS);
                gateway.advance(100 * MILLIS);
                for (; endedAttempts < gateway.attempts.size(); endedAttempts++) {
                    // Includes queued queries, which are sent in the turn of the gateway.
                    sent.merge(
                            gateway.attempts.get(endedAttempts).startedAt(),
                            2.0 * SECONDS,
                            Double::sum);
                    gateway.endAttempt(
                            gateway.attempts.get(endedAttempts), AttemptOutcome.OK, 2000, 50);
                }
            }
        }
        double maxWork = 0;
        for (long windowStart : sent.keySet()) {
            maxWork =
                    Math.max(
                            maxWork,
                            sent
                                    .subMap(
                                            windowStart,
                                            windowStart
                                                    + settings.protectionRules()
                                                            .slowStartWindowUs())
                                    .values()
                                    .stream()
                                    .mapToDouble(Double::doubleValue)
                                    .sum());
        }
        assertTrue(
                maxWork > 0 && maxWork <= limit,
                maxWork / SECONDS + " of " + limit / SECONDS + " core-seconds");
        double totalWork = sent.values().stream().mapToDouble(Double::doubleValue).sum();
        double allowedWork =
                SlowStartLimiter.ALLOWANCE_SHARE
                        * SlowStartLimiter.CORE_EFFICIENCY
                        * limit
                        * 9
                        * SECONDS
                        / settings.protectionRules().slowStartWindowUs();
        // Two gateways may send 1.5 queries each, so that rounding wastes more of the limit.
        double minShare = gateways * processes > 2 ? 0.7 : 0.6;
        assertTrue(
                totalWork > minShare * allowedWork,
                totalWork / SECONDS + " of " + allowedWork / SECONDS + " core-seconds");
    }

    /**
     * Gateways that have just started do not know the work of heavy queries. They must still send
     * such queries to a warming-up engine, within the limit.
     */
    @Test
    void warmingUpEngineRunsQueriesOfUnknownWork() {
        RouterSettings settings = RecordingActions.settings(40, LOOKUP, LOOKUP);
        TreeMap<Long, Double> sent = new TreeMap<>();
        int heavyQueries = 0;
        for (int gatewayIndex = 0; gatewayIndex < 40; gatewayIndex++) {
            RecordingActions gateway =
                    new RecordingActions(gatewaySettings(settings, gatewayIndex));
            gateway.updateEndpoints(
                    EndpointUpdate.COMPLETE,
                    engine(1, RecordingActions.START_MICROS, EngineLifecycle.READY));
            int endedAttempts = 0;
            for (int id = 0; id < 36; id++) {
                boolean isHeavyQuery = id % 4 == 3;
                gateway.accept(id, isHeavyQuery ? 1 : 0, 0, 0, 1, isHeavyQuery ? 0 : 100 * MILLIS);
                gateway.advance(250 * MILLIS);
                for (; endedAttempts < gateway.attempts.size(); endedAttempts++) {
                    boolean wasHeavyQuery = gateway.attempts.get(endedAttempts).query() % 4 == 3;
                    heavyQueries += wasHeavyQuery ? 1 : 0;
                    sent.merge(
                            gateway.attempts.get(endedAttempts).startedAt(),
                            wasHeavyQuery ? 1.0 * SECONDS : 0.1 * SECONDS,
                            Double::sum);
                    gateway.endAttempt(gateway.attempts.get(endedAttempts), AttemptOutcome.OK);
                }
            }
        }
        assertTrue(heavyQueries > 10, heavyQueries + " heavy queries in 9 s from 40 gateways");
        double limit =
                settings.protectionRules().slowStartMultiple()
                        * settings.protectionRules().slowStartShare()
                        * 8
                        * settings.protectionRules().slowStartWindowUs();
        sent.keySet()
                .forEach(
                        windowStart -> {
                            double work =
                                    sent
                                            .subMap(
                                                    windowStart,
                                                    windowStart
                                                            + settings.protectionRules()
                                                                    .slowStartWindowUs())
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
     * Returns how many light queries of one class a warming-up engine gets in a row. Before,
     * queries of two light classes, and of a heavy class every twentieth time, ran for 100 ms each
     * over 40 s; answers report their work if {@code workReported} is set.
     */
    private static int lightQueriesToWarmingUpEngine(
            boolean workReported, double lightWork, double heavyWork) {
        RecordingActions gateway =
                RecordingActions.withEngines(
                        RecordingActions.settings(1, LOOKUP, LOOKUP, LOOKUP), 3);
        for (int id = 0; id < 400; id++) {
            double workMicros = id % 20 == 0 ? heavyWork : lightWork;
            gateway.accept(id, id % 20 == 0 ? 2 : id % 2, 0, 0, 1, workMicros);
            gateway.advance(100 * MILLIS);
            gateway.endAttempt(
                    gateway.lastAttemptOf(id),
                    AttemptOutcome.OK,
                    workReported ? workMicros / MILLIS : 0,
                    50);
        }
        gateway.updateEndpoints(
                EndpointUpdate.COMPLETE, engine(9, gateway.now, EngineLifecycle.READY));
        int sentQueries = 0;
        for (gateway.accept(1000, 1, 0, 0, 1, lightWork);
                gateway.isLastAttemptOf(1000 + sentQueries) && sentQueries < 100;
                gateway.accept(1000 + sentQueries, 1, 0, 0, 1, lightWork)) {
            RecordingActions.Attempt sent = gateway.lastAttempt();
            gateway.router.attemptEnded(
                    gateway.now,
                    new AttemptResult(
                            sent.query(),
                            sent.number(),
                            sent.engine(),
                            AttemptOutcome.OK,
                            true,
                            100 * MILLIS,
                            workReported ? lightWork / MILLIS : 0,
                            50,
                            null));
            sentQueries++;
        }
        return sentQueries;
    }

    /**
     * Two light classes requested 5.7 s of 13.7 s of work. One of them alone may use the allowance
     * of both, but no more.
     */
    @Test
    void lightClassesShareSlowStartAllowance() {
        double allowedSeconds =
                SlowStartLimiter.ALLOWANCE_SHARE
                        * SlowStartLimiter.CORE_EFFICIENCY
                        * 2.5
                        * 0.3
                        * 8
                        * 2
                        * 5.7
                        / 13.7;
        int sentQueries = lightQueriesToWarmingUpEngine(true, 300 * MILLIS, 8 * SECONDS);
        assertTrue(
                sentQueries * 0.3 > 0.8 * allowedSeconds
                        && sentQueries * 0.3 < 1.1 * allowedSeconds,
                sentQueries + " queries of 0.3 s, " + allowedSeconds + " s allowed");
    }

    /**
     * Estimates that are thirty times too high, and not corrected by any answer, must not keep a
     * warming-up engine empty.
     */
    @Test
    void runTimesBoundInflatedEstimates() {
        double allowedSeconds =
                SlowStartLimiter.ALLOWANCE_SHARE
                        * SlowStartLimiter.CORE_EFFICIENCY
                        * 2.5
                        * 0.3
                        * 8
                        * 2;
        int sentQueries = lightQueriesToWarmingUpEngine(false, 3 * SECONDS, 3 * SECONDS);
        assertTrue(
                sentQueries * 0.1 > 0.9 * allowedSeconds && sentQueries * 0.1 <= allowedSeconds,
                sentQueries + " queries of 0.1 s, " + allowedSeconds + " s allowed");
    }
}
