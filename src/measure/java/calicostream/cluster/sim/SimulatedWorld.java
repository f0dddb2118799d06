// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.EventLoop;
import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Virtual time for processes that stop and go on, with clocks that drift; one thread, one seed, a
 * hash of all that happened.
 */
final class SimulatedWorld {
    private record Event(long at, long order, SimulatedProcess process, int life, Runnable task)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
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

    /** Runs all up to {@code end}; {@code after} is called after each event of a process. */
    void run(long end, java.util.function.Consumer<SimulatedProcess> after) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            SimulatedProcess process = event.process;
            if (process != null && process.incarnation != event.life) {
                continue;
            }
            if (process != null && process.pausedUntil > event.at) {
                // Kept in its order: what waited runs first when the process goes on.
                events.add(
                        new Event(
                                process.pausedUntil, event.order, process, event.life, event.task));
                continue;
            }
            now = event.at;
            steps++;
            event.task.run();
            if (process != null) {
                after.accept(process);
            }
        }
        now = end;
    }

    /** A process: its clock, and whether it runs. */
    final class SimulatedProcess implements EventLoop {
        final int member;
        int incarnation;
        long pausedUntil;
        private long ppm;
        private long base = random.nextLong() >> 2;
        private long since;

        SimulatedProcess(int member) {
            this.member = member;
        }

        void setDriftPpm(long partsPerMillion) {
            base = nanoTime();
            since = now;
            ppm = partsPerMillion;
        }

        /**
         * Its clock jumps ahead, as if it had been stopped; back is what a monotonic clock promises
         * not to go.
         */
        void stepClock(long nanos) {
            base += nanos;
        }

        @Override
        public long nanoTime() {
            long passed = now - since;
            return base + passed + passed / 1_000_000 * ppm;
        }

        @Override
        public void execute(Runnable task) {
            events.add(new Event(now, order++, this, incarnation, task));
        }

        @Override
        public void schedule(Runnable task, long delay) {
            events.add(
                    new Event(
                            now + delay - delay / 1_000_000 * ppm,
                            order++,
                            this,
                            incarnation,
                            task));
        }
    }
}
