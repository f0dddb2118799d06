// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.Entry;
import calicostream.cluster.Frame;
import calicostream.cluster.MemberSession;
import calicostream.cluster.Replicated;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tasks of two processes on one log that answers at once, or not at all. */
class TasksTest {
    private static final long MILLI = 1_000_000;
    private static final long TTL = 2_000 * MILLI;
    private static final String NAME = "divide";

    private final class Process {
        final MemberSession session;
        final List<String> calls = new ArrayList<>();
        final List<String> events = new ArrayList<>();
        final Tasks tasks;
        boolean throwsNext;
        boolean isCut;
        long acted;

        Process(int member) {
            session = new MemberSession(new MemberSession.Settings(member, 60_000, 150, 8), List.of(1), (long) member << 40);
            tasks = new Tasks(session, "lease", () -> now, event -> events.add(event.code() + " " + event.token()));
            tasks.add(new Task() {
                @Override
                public String lease() {
                    return NAME;
                }

                @Override
                public void started(Acts acts) {
                    calls.add("started");
                }

                @Override
                public void step(Acts acts, long nowNanos) {
                    calls.add("step");
                    if (throwsNext) {
                        throwsNext = false;
                        throw new IllegalStateException("broken on purpose");
                    }
                    assertEquals(Optional.empty(), acts.tell(new byte[] {7}, outcome -> acted += outcome.accepted() ? 1 : 0));
                }

                @Override
                public void stopped() {
                    calls.add("stopped");
                }

                @Override
                public void heard(long token, byte[] payload, long nowNanos) {
                    calls.add("heard " + payload[0]);
                }
            }, TTL);
        }

        long count(String call) {
            return calls.stream().filter(call::equals).count();
        }

        /** All that it wants to send and what comes of it, until it is quiet. */
        void exchange() {
            for (List<MemberSession.Send> sends = session.tick(now); !sends.isEmpty() && !isCut; sends = session.tick(now)) {
                for (MemberSession.Send send : sends) {
                    Frame.Request request = (Frame.Request) Frame.decode(send.frame());
                    session.received(1, new Frame.Reply(request.id(), 0, state.apply(++index, request.body())), now);
                    for (Replicated.News news : state.takeNews()) {
                        if (news.machine().equals("lease")) {
                            processes.stream().filter(each -> !each.isCut).forEach(each -> each.tasks.news(news.event()));
                        }
                    }
                }
            }
        }
    }

    private final LeaseMachine machine = new LeaseMachine();
    private final LeaderWatch watch = new LeaderWatch(machine, 50 * MILLI);
    private final Replicated state = new Replicated(Map.of("lease", machine));
    private final List<Process> processes = new ArrayList<>();
    private long now = 1_000 * MILLI;
    private long index;

    private void turn() {
        processes.forEach(each -> {
            each.tasks.tick();
            each.exchange();
        });
        for (byte[] body : watch.due(now)) {
            state.apply(++index, new Entry.Timed(state.era(), "lease", body).encode());
        }
    }

    private void pass(long millis) {
        for (long left = millis; left > 0; left -= 50) {
            now += 50 * MILLI;
            turn();
        }
    }

    private void start() {
        state.apply(++index, new Entry.Era(1, 5).encode());
        processes.add(new Process(1));
        processes.add(new Process(2));
        watch.eraBegan(state.era(), now);
        pass(300);
    }

    @Test
    void oneStepsAndAPlannedStopHandsOverAtOnce() {
        start();
        Process first = processes.get(0);
        Process second = processes.get(1);
        assertTrue(first.count("step") > 3 && first.acted == first.count("step"));
        assertEquals("started", first.calls.get(0));
        assertEquals(0, second.count("step"));
        assertTrue(second.count("heard 7") > 3);
        first.tasks.stop();
        assertEquals("stopped", first.calls.get(first.calls.size() - 1));
        first.tasks.tick();
        first.exchange();
        second.exchange(); // It heard, and confirms without waiting for a tick of its own.
        second.tasks.tick();
        assertEquals(List.of("lease-held 2"), second.events);
        long steps = first.count("step");
        pass(5_000);
        assertEquals(steps, first.count("step"));
        assertEquals(1, second.count("started"));
        assertEquals(List.of("lease-held 1", "lease-given-back 1"), first.events);
    }

    @Test
    void aTaskThatThrowsLeavesItsLeaseToAnotherAndWantsItAgain() {
        start();
        Process first = processes.get(0);
        first.throwsNext = true;
        pass(300);
        assertEquals(List.of("lease-held 1", "lease-task-failed 1", "lease-given-back 1"), first.events);
        assertEquals(1, processes.get(1).count("started"));
        assertEquals(Holder.Phase.IDLE, first.tasks.figures().get(0).phase());
        pass(2_500);
        assertEquals(Holder.Phase.WAITING, first.tasks.figures().get(0).phase());
        assertEquals(1, first.tasks.figures().get(0).failed());
    }

    @Test
    void aHolderThatIsCutOffStopsByItsClockBeforeTheNextStarts() {
        start();
        Process first = processes.get(0);
        Process second = processes.get(1);
        first.isCut = true;
        while (second.count("started") == 0) {
            pass(50);
            assertFalse(second.count("started") > 0 && first.count("stopped") == 0);
        }
        assertEquals(List.of("lease-held 1", "lease-lost 1"), first.events);
        assertEquals(1, first.tasks.figures().get(0).lost());
        pass(5_000);
        assertEquals(1, first.count("stopped"));
        first.isCut = false;
        pass(5_000);
        assertEquals(1, first.count("started"));
        assertEquals(1, second.count("started"));
    }
}
