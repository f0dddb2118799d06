// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.Arrays;

/**
 * A binary heap of deadlines, ordered by time and, for equal times, by insertion. Times are in
 * microseconds of the process's {@link Clock}. Not thread-safe.
 *
 * <p>A deadline cannot be removed. If its subject has ended before it passes, the callback ignores
 * the call; a {@link SlotTable} handle passed as the argument allows it to detect this. The heap is
 * stored in parallel arrays, so that adding a deadline allocates no object.
 */
public final class Deadlines {
    /** Called when a deadline has passed. */
    public interface Callback {
        /**
         * Handles a deadline that has passed.
         *
         * @param now the current time, at or after the deadline
         * @param argument the value that was given when the deadline was added
         */
        void onDeadline(long now, long argument);
    }

    /** The time of a deadline that never passes. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final int INITIAL_CAPACITY = 256;

    // Binary heap: the children of the entry at index i are at 2 * i + 1 and 2 * i + 2.
    private long[] times = new long[INITIAL_CAPACITY];
    private long[] sequenceNumbers = new long[INITIAL_CAPACITY];
    private long[] arguments = new long[INITIAL_CAPACITY];
    private Callback[] callbacks = new Callback[INITIAL_CAPACITY];
    private int size;
    private long nextSequenceNumber;

    /**
     * Adds a deadline.
     *
     * @param time when the deadline passes
     * @param callback called when the deadline has passed
     * @param argument passed to the callback
     */
    public void add(long time, Callback callback, long argument) {
        if (size == times.length) {
            grow();
        }
        int index = size++;
        long sequenceNumber = nextSequenceNumber++;
        while (index > 0 && times[(index - 1) / 2] > time) {
            move((index - 1) / 2, index);
            index = (index - 1) / 2;
        }
        put(index, time, sequenceNumber, callback, argument);
    }

    private void grow() {
        times = Arrays.copyOf(times, size * 2);
        sequenceNumbers = Arrays.copyOf(sequenceNumbers, size * 2);
        arguments = Arrays.copyOf(arguments, size * 2);
        callbacks = Arrays.copyOf(callbacks, size * 2);
    }

    /** Returns the time of the earliest deadline, or {@link #NEVER} if there is none. */
    public long next() {
        return size == 0 ? NEVER : times[0];
    }

    /**
     * Removes all deadlines up to {@code now} and calls their callbacks, including deadlines that a
     * callback adds.
     */
    public void run(long now) {
        while (size > 0 && times[0] <= now) {
            Callback callback = callbacks[0];
            long argument = arguments[0];
            removeFirst();
            callback.onDeadline(now, argument);
        }
    }

    private void removeFirst() {
        int last = --size;
        int index = 0;
        for (int child = 1; child < last; child = 2 * index + 1) {
            if (child + 1 < last && isBefore(child + 1, child)) {
                child++;
            }
            if (!isBefore(child, last)) {
                break;
            }
            move(child, index);
            index = child;
        }
        move(last, index);
        callbacks[last] = null;
    }

    private boolean isBefore(int left, int right) {
        return times[left] < times[right]
                || times[left] == times[right] && sequenceNumbers[left] < sequenceNumbers[right];
    }

    private void move(int from, int to) {
        put(to, times[from], sequenceNumbers[from], callbacks[from], arguments[from]);
    }

    private void put(int index, long time, long sequenceNumber, Callback callback, long argument) {
        times[index] = time;
        sequenceNumbers[index] = sequenceNumber;
        callbacks[index] = callback;
        arguments[index] = argument;
    }
}
