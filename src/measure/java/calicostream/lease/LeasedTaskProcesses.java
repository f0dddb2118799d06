// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.MemberMessage;
import calicostream.cluster.MemberSession;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Simulates processes that each run one task in a {@link LeasedTaskRunner}, on one log that answers
 * immediately, or not at all if the process is partitioned. Times are virtual, in nanoseconds.
 * Confined to one thread.
 */
final class LeasedTaskProcesses {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TTL_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final long TICK_MILLIS = 50;
    private static final String LEASE = "divide";

    /** One process, which records the calls of its task and the events of its runner. */
    final class Process {
        final MemberSession session;
        final List<String> calls = new ArrayList<>();
        final List<String> events = new ArrayList<>();
        final LeasedTaskRunner runner;
        boolean throwsInNextStep;
        boolean partitioned;
        long appliedActions;

        Process(int member) {
            session =
                    new MemberSession(
                            new MemberSession.Settings(member, 60_000, 150, 8),
                            List.of(1),
                            (long) member << 40);
            runner =
                    new LeasedTaskRunner(
                            session,
                            "lease",
                            () -> now,
                            event -> events.add(event.code() + " " + event.token()));
            runner.add(
                    new LeasedTask() {
                        @Override
                        public String lease() {
                            return LEASE;
                        }

                        @Override
                        public void onStarted(FencedActions actions) {
                            calls.add("started");
                        }

                        @Override
                        public void step(FencedActions actions, long nowNanos) {
                            calls.add("step");
                            if (throwsInNextStep) {
                                throwsInNextStep = false;
                                throw new IllegalStateException("injected failure");
                            }
                            actions.submit(
                                            new byte[] {7},
                                            outcome ->
                                                    appliedActions += outcome.isAccepted() ? 1 : 0)
                                    .ifPresent(
                                            rejection -> {
                                                throw new AssertionError(
                                                        "an action of the holder was not submitted:"
                                                                + " "
                                                                + rejection);
                                            });
                        }

                        @Override
                        public void onStopped() {
                            calls.add("stopped");
                        }

                        @Override
                        public void onAction(long token, byte[] payload, long nowNanos) {
                            calls.add("action " + payload[0]);
                        }
                    },
                    TTL_NANOS);
        }

        long count(String call) {
            return calls.stream().filter(call::equals).count();
        }

        /** Delivers the session's messages and the resulting events until there are no more. */
        void exchangeMessages() {
            for (List<MemberSession.OutgoingFrame> frames = session.tick(now);
                    !frames.isEmpty() && !partitioned;
                    frames = session.tick(now)) {
                for (MemberSession.OutgoingFrame frame : frames) {
                    MemberMessage.Request request =
                            (MemberMessage.Request) MemberMessage.decode(frame.frame());
                    session.received(
                            1,
                            new MemberMessage.Reply(
                                    request.id(), 0, state.apply(++logIndex, request.body())),
                            now);
                    for (ReplicatedState.StateChange change : state.drainStateChanges()) {
                        if (change.machine().equals("lease")) {
                            processes.stream()
                                    .filter(process -> !process.partitioned)
                                    .forEach(process -> process.runner.onEvent(change.event()));
                        }
                    }
                }
            }
        }
    }

    private final LeaseStateMachine machine = new LeaseStateMachine();
    private final LeaseExpiryMonitor expiryMonitor =
            new LeaseExpiryMonitor(machine, 50 * NANOS_PER_MILLI);
    private final ReplicatedState state = new ReplicatedState(Map.of("lease", machine));
    private final List<Process> processes = new ArrayList<>();
    private long now = 1_000 * NANOS_PER_MILLI;
    private long logIndex;

    LeasedTaskProcesses(int size) {
        state.apply(++logIndex, new ReplicatedEntry.EpochStart(1, 5).encode());
        for (int member = 1; member <= size; member++) {
            processes.add(new Process(member));
        }
        expiryMonitor.epochStarted(state.epoch(), now);
    }

    private void tick() {
        processes.forEach(
                process -> {
                    process.runner.tick();
                    process.exchangeMessages();
                });
        for (byte[] body : expiryMonitor.expiredCommands(now)) {
            state.apply(
                    ++logIndex,
                    new ReplicatedEntry.LeaderCommand(state.epoch(), "lease", body).encode());
        }
    }

    void advance(long millis) {
        for (long remainingMillis = millis; remainingMillis > 0; remainingMillis -= TICK_MILLIS) {
            now += TICK_MILLIS * NANOS_PER_MILLI;
            tick();
        }
    }

    Process get(int position) {
        return processes.get(position);
    }
}
