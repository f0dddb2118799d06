// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.PriorityQueue;
import java.util.Random;

/**
 * The virtual time of a {@link RandomLeaseRun}: tasks in the order of their times, and processes
 * with clocks of their own. Confined to one thread; times in nanoseconds.
 */
final class SimulatedTime {
    private static final int MAX_CLOCK_START_MILLIS = 1_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLION = 1_000_000;

    private record Event(long at, long order, Process process, int incarnation, Runnable task)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }

        boolean isOfFormerIncarnation() {
            return process != null && process.incarnation != incarnation && process.incarnation > 0;
        }

        boolean isPaused() {
            return process != null && process.pausedUntil > at;
        }

        Event resumed() {
            return new Event(process.pausedUntil, order, process, incarnation, task);
        }
    }

    /**
     * A process with a drifting clock. While it is paused its tasks are delayed and its clock goes
     * on; a restart drops the tasks of the former incarnation.
     */
    final class Process {
        private long driftPpm;
        private long base = random.nextInt(MAX_CLOCK_START_MILLIS) * NANOS_PER_MILLI;
        private long baseAt;
        private long pausedUntil;
        private int incarnation;

        private Process() {}

        /** The process's monotonic time. */
        long nanos() {
            return base + (now - baseAt) + (now - baseAt) * driftPpm / MILLION;
        }

        void setDrift(long ppm) {
            base = nanos();
            baseAt = now;
            driftPpm = ppm;
        }

        void pauseUntil(long time) {
            pausedUntil = time;
        }

        /**
         * @return the new incarnation's number
         */
        int restart() {
            incarnation++;
            return incarnation;
        }

        int incarnation() {
            return incarnation;
        }

        /** Runs a task in this incarnation of the process, at least a nanosecond from now. */
        void after(long delay, Runnable task) {
            schedule(Math.max(1, delay), this, incarnation, task);
        }
    }

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long order;

    SimulatedTime(Random random) {
        this.random = random;
    }

    long now() {
        return now;
    }

    Process createProcess() {
        return new Process();
    }

    /** Runs a task that belongs to no process. */
    void after(long delay, Runnable task) {
        schedule(delay, null, 0, task);
    }

    private void schedule(long delay, Process process, int incarnation, Runnable task) {
        events.add(new Event(now + delay, order, process, incarnation, task));
        order++;
    }

    /**
     * Advances to the next task.
     *
     * @return the task to run now; null if there is none by that time
     */
    Runnable nextTask(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            if (event.isOfFormerIncarnation()) {
                continue;
            }
            if (event.isPaused()) {
                events.add(event.resumed());
                continue;
            }
            now = event.at;
            return event.task;
        }
        return null;
    }
}
