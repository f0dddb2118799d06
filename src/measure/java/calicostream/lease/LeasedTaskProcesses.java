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
 * Processes with one task and a {@link LeasedTaskRunner} each, on one log that answers at once, or
 * not at all; in virtual time (nanoseconds). Confined to one thread.
 */
final class LeasedTaskProcesses {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TTL_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final long TICK_MILLIS = 50;
    private static final String LEASE = "divide";

    /** One process, with the calls of its task and the events of its runner. */
    final class Process {
        final MemberSession session;
        final List<String> calls = new ArrayList<>();
        final List<String> events = new ArrayList<>();
        final LeasedTaskRunner runner;
        boolean throwsNext;
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
                            if (throwsNext) {
                                throwsNext = false;
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

        /** Delivers the session's messages and the resulting events until none are left. */
        void exchangeMessages() {
            for (List<MemberSession.OutgoingFrame> sends = session.tick(now);
                    !sends.isEmpty() && !partitioned;
                    sends = session.tick(now)) {
                for (MemberSession.OutgoingFrame send : sends) {
                    MemberMessage.Request request =
                            (MemberMessage.Request) MemberMessage.decode(send.frame());
                    session.received(
                            1,
                            new MemberMessage.Reply(
                                    request.id(), 0, state.apply(++index, request.body())),
                            now);
                    for (ReplicatedState.StateChange news : state.drainStateChanges()) {
                        if (news.machine().equals("lease")) {
                            processes.stream()
                                    .filter(each -> !each.partitioned)
                                    .forEach(each -> each.runner.onEvent(news.event()));
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
    private long index;

    LeasedTaskProcesses(int size) {
        state.apply(++index, new ReplicatedEntry.EpochStart(1, 5).encode());
        for (int member = 1; member <= size; member++) {
            processes.add(new Process(member));
        }
        expiryMonitor.epochStarted(state.epoch(), now);
    }

    private void tick() {
        processes.forEach(
                each -> {
                    each.runner.tick();
                    each.exchangeMessages();
                });
        for (byte[] body : expiryMonitor.expiredCommands(now)) {
            state.apply(
                    ++index,
                    new ReplicatedEntry.LeaderCommand(state.epoch(), "lease", body).encode());
        }
    }

    void pass(long millis) {
        for (long left = millis; left > 0; left -= TICK_MILLIS) {
            now += TICK_MILLIS * NANOS_PER_MILLI;
            tick();
        }
    }

    Process get(int place) {
        return processes.get(place);
    }
}
