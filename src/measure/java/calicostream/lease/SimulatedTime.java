// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.PriorityQueue;
import java.util.Random;

/**
 * The virtual time of a {@link RandomLeaseRun}: scheduled tasks in the order of their times, and
 * processes that each have their own clock. Confined to one thread; times in nanoseconds.
 */
final class SimulatedTime {
    private static final int MAX_CLOCK_START_MILLIS = 1_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long PARTS_PER_MILLION = 1_000_000;

    private record Event(
            long dueAt, long sequenceNumber, Process process, int incarnation, Runnable task)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return dueAt != other.dueAt
                    ? Long.compare(dueAt, other.dueAt)
                    : Long.compare(sequenceNumber, other.sequenceNumber);
        }

        boolean isOfFormerIncarnation() {
            return process != null && process.incarnation != incarnation && process.incarnation > 0;
        }

        boolean isPaused() {
            return process != null && process.pausedUntil > dueAt;
        }

        Event resumed() {
            return new Event(process.pausedUntil, sequenceNumber, process, incarnation, task);
        }
    }

    /**
     * A process with a drifting clock. While the process is paused, its tasks are delayed but its
     * clock advances. A restart drops the tasks of the former incarnation.
     */
    final class Process {
        private long driftPpm;
        private long clockBase = random.nextInt(MAX_CLOCK_START_MILLIS) * NANOS_PER_MILLI;
        private long clockBaseSetAt;
        private long pausedUntil;
        private int incarnation;

        private Process() {}

        /** The time on the process's monotonic clock. */
        long monotonicNanos() {
            return clockBase
                    + (now - clockBaseSetAt)
                    + (now - clockBaseSetAt) * driftPpm / PARTS_PER_MILLION;
        }

        void setDrift(long ppm) {
            clockBase = monotonicNanos();
            clockBaseSetAt = now;
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

        /**
         * Schedules a task in this incarnation of the process, at least one nanosecond from now.
         */
        void scheduleAfter(long delayNanos, Runnable task) {
            schedule(Math.max(1, delayNanos), this, incarnation, task);
        }
    }

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long sequenceNumber;

    SimulatedTime(Random random) {
        this.random = random;
    }

    long now() {
        return now;
    }

    Process createProcess() {
        return new Process();
    }

    /** Schedules a task that belongs to no process. */
    void scheduleAfter(long delayNanos, Runnable task) {
        schedule(delayNanos, null, 0, task);
    }

    private void schedule(long delayNanos, Process process, int incarnation, Runnable task) {
        events.add(new Event(now + delayNanos, sequenceNumber, process, incarnation, task));
        sequenceNumber++;
    }

    /**
     * Advances the time to the next task.
     *
     * @return the task to run now; null if no task is scheduled until then
     */
    Runnable nextTask(long endNanos) {
        while (!events.isEmpty() && events.peek().dueAt <= endNanos) {
            Event event = events.poll();
            if (event.isOfFormerIncarnation()) {
                continue;
            }
            if (event.isPaused()) {
                events.add(event.resumed());
                continue;
            }
            now = event.dueAt;
            return event.task;
        }
        return null;
    }
}
