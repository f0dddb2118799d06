// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.EventLoop;
import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Virtual time and the event queue of a simulation, with processes that pause and clocks that
 * drift. One thread, one seed, and a hash of everything that happened.
 */
final class SimulatedWorld {
    private record Event(
            long timeNanos, long order, SimulatedProcess process, int incarnation, Runnable task)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeNanos != other.timeNanos
                    ? Long.compare(timeNanos, other.timeNanos)
                    : Long.compare(order, other.order);
        }
    }

    final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long order;
    private long hash = 1125899906842597L;
    long steps;

    SimulatedWorld(long seed) {
        random = new Random(seed);
    }

    long now() {
        return now;
    }

    void trace(String what, long... facts) {
        hash = hash * 31 + what.hashCode();
        for (long fact : facts) {
            hash = hash * 31 + fact;
        }
    }

    void trace(String what, byte[] bytes) {
        trace(what, Arrays.hashCode(bytes), now);
    }

    long hash() {
        return hash;
    }

    void schedule(long time, Runnable task) {
        events.add(new Event(Math.max(now, time), order++, null, 0, task));
    }

    /**
     * Runs all events up to a time.
     *
     * @param afterEvent called after each event of a process
     */
    void run(long end, Consumer<SimulatedProcess> afterEvent) {
        while (!events.isEmpty() && events.peek().timeNanos <= end) {
            Event event = events.poll();
            SimulatedProcess process = event.process;
            if (process != null && process.incarnation != event.incarnation) {
                continue;
            }
            if (process != null && process.pausedUntil > event.timeNanos) {
                // Keeps its order: events that waited run first when the process resumes.
                events.add(
                        new Event(
                                process.pausedUntil,
                                event.order,
                                process,
                                event.incarnation,
                                event.task));
                continue;
            }
            now = event.timeNanos;
            steps++;
            event.task.run();
            if (process != null) {
                afterEvent.accept(process);
            }
        }
        now = end;
    }

    /** A process with its own clock, which may be paused. */
    final class SimulatedProcess implements EventLoop {
        final int member;
        int incarnation;
        long pausedUntil;
        private long driftPpm;
        private long baseNanos = random.nextLong() >> 2;
        private long changedAtNanos;

        SimulatedProcess(int member) {
            this.member = member;
        }

        void setDriftPpm(long partsPerMillion) {
            baseNanos = nanoTime();
            changedAtNanos = now;
            driftPpm = partsPerMillion;
        }

        /** The clock jumps ahead; a monotonic clock never goes back. */
        void stepClock(long nanos) {
            baseNanos += nanos;
        }

        @Override
        public long nanoTime() {
            long passedNanos = now - changedAtNanos;
            return baseNanos + passedNanos + passedNanos / 1_000_000 * driftPpm;
        }

        @Override
        public void execute(Runnable task) {
            events.add(new Event(now, order++, this, incarnation, task));
        }

        @Override
        public void schedule(Runnable task, long delay) {
            events.add(
                    new Event(
                            now + delay - delay / 1_000_000 * driftPpm,
                            order++,
                            this,
                            incarnation,
                            task));
        }
    }
}
