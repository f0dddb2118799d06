// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.core.Attempt;
import calicostream.core.GatewayHarness;
import calicostream.core.IncomingRequest;
import calicostream.core.TextResult;
import calicostream.routing.AttemptOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Simulates a fleet of twenty front ends that run the production router, with an engine that fails
 * for a minute, and with or without ejection hints. Times are virtual, in microseconds. The result
 * fields are valid once {@link #simulate} has returned.
 */
final class EjectionHintsFleet {
    static final long SEED = 25;
    static final int FRONT_END_COUNT = 20;
    private static final long HOLDER_TOKEN = 4;
    static final long MICROS_PER_MILLI = 1_000;
    static final long END_MICROS = 75_000 * MICROS_PER_MILLI;
    private static final long FAILED_ENGINE = 3;
    private static final long RECOVERED_AT_MICROS = 60_000 * MICROS_PER_MILLI;
    private static final long MESSAGE_DELAY_MICROS = 30 * MICROS_PER_MILLI;
    private static final String SETTINGS =
            "lanes.count=1\n"
                    + "lanes.0.name=look\n"
                    + "lanes.0.effect=repeatable\n"
                    + "lanes.0.aim_us=800000\n"
                    + "lanes.0.deadline_us=4000000\n"
                    + "family_info.kind_cores=12\n"
                    + "family_info.kind_memory_mb=24576\n"
                    + "ceilings.max_attempts=3\n"
                    + "ceilings.cancel=true\n"
                    + "tick_us=5000\n"
                    + "family_info.holds_tables=false\n"
                    + "family_info.waits_for_loads=true\n"
                    + "family_info.width_by_class=1\n"
                    + "rules.cold_share=0.3\n"
                    + "rules.overload_factor=4\n"
                    + "rules.fall_us=2000000\n"
                    + "rules.warm_up_us=14000000\n";

    private final class Process implements EjectionHints.FrontEnd {
        final GatewayHarness harness = new GatewayHarness(SETTINGS);
        final EjectionHints ejectionHints = new EjectionHints(this);
        boolean hasUsedEngineAgain;

        Process() {
            harness.start(1, 2, 3, 4, 5, 6);
        }

        void runTick() {
            harness.time = nowMicros;
            harness.deadlines.run(nowMicros);
            harness.gateway.accept(
                    IncomingRequest.of(
                            harness, nowMicros, "q", 0, random.nextInt(8), 1_000_000, new byte[0]));
            while (!harness.sent.isEmpty()) {
                Attempt attempt = harness.sent.remove(0);
                boolean fails =
                        attempt.engine() == FAILED_ENGINE && nowMicros < RECOVERED_AT_MICROS;
                failedQueries += fails ? 1 : 0;
                if (attempt.engine() == FAILED_ENGINE && !fails && !hasUsedEngineAgain) {
                    hasUsedEngineAgain = true;
                    recoveryDelaysMicros.add(nowMicros - RECOVERED_AT_MICROS);
                }
                harness.gateway.attemptEnded(
                        attempt,
                        fails ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK,
                        null,
                        new TextResult(new byte[0]));
            }
        }

        @Override
        public EjectionHints.EngineView view() {
            return new EjectionHints.EngineView(
                    harness.gateway.readyEngines(true), harness.gateway.readyEngines(false));
        }

        @Override
        public void onHint(long engine, boolean served) {
            harness.gateway.applyEjectionHint(engine, served);
        }
    }

    private record DelayedMessage(long sentAtMicros, byte[] payload) {}

    private final Random random = new Random(SEED);
    private long nowMicros = 1_000_000;

    /**
     * For each front end that used the engine again, the time from the engine's recovery to that
     * use, in microseconds.
     */
    final List<Long> recoveryDelaysMicros = new ArrayList<>();

    /** Number of queries that were sent to the engine while it failed. */
    int failedQueries;

    private EjectionHintsFleet() {}

    /**
     * Runs the simulation.
     *
     * @param holder index of the front end that holds the lease; -1 for a fleet without a cluster
     * @param holderStopsAtMicros time at which the holder stops publishing, in microseconds
     */
    static EjectionHintsFleet simulate(int holder, long holderStopsAtMicros) {
        EjectionHintsFleet fleet = new EjectionHintsFleet();
        fleet.run(holder, holderStopsAtMicros);
        return fleet;
    }

    private void run(int holder, long holderStopsAtMicros) {
        List<Process> fleet =
                IntStream.range(0, FRONT_END_COUNT).mapToObj(i -> new Process()).toList();
        ArrayDeque<DelayedMessage> messages = new ArrayDeque<>();
        LeaseHolder leaseHolder = new LeaseHolder(EjectionHints.LEASE, 3_600_000_000_000L, 0);
        leaseHolder.acquire();
        leaseHolder.onAnswer(
                0, leaseHolder.nextRequest(0).number(), new LeaseAnswer.Held(HOLDER_TOKEN));
        FencedActions actions =
                new FencedActions(
                        leaseHolder,
                        () -> 0,
                        "lease",
                        (machine, body, onOutcome) ->
                                messages.add(
                                        new DelayedMessage(
                                                nowMicros,
                                                ((LeaseCommand.FencedAction)
                                                                LeaseCommand.decode(body))
                                                        .payload())));
        if (holder >= 0) {
            fleet.get(holder).ejectionHints.onStarted(actions);
        }
        for (; nowMicros < END_MICROS; nowMicros += 20 * MICROS_PER_MILLI) {
            fleet.forEach(Process::runTick);
            if (holder >= 0 && nowMicros < holderStopsAtMicros) {
                fleet.get(holder).ejectionHints.step(actions, nowMicros * 1000);
            }
            while (!messages.isEmpty()
                    && nowMicros - messages.peek().sentAtMicros >= MESSAGE_DELAY_MICROS) {
                byte[] message = messages.poll().payload;
                fleet.forEach(
                        process ->
                                process.ejectionHints.onAction(
                                        HOLDER_TOKEN, message, nowMicros * 1000));
            }
        }
    }
}
