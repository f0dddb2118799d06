// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.Arrays;

/**
 * Every deadline of the process in one binary heap, earliest first, equal ones in the order in
 * which they were added. One thread. Times are microseconds of the process's {@link Clock}.
 *
 * <p>Entries are never taken out: a target ignores a reference whose entry is over, as {@link
 * SlotTable} handles allow. The heap lies in parallel arrays, one entry an index, so that adding a
 * deadline allocates nothing.
 */
public final class Deadlines {
    /** Gets a deadline that has passed. */
    public interface Target {
        /**
         * The deadline has passed.
         *
         * @param now the time at which deadlines are run, not before the deadline
         * @param reference as given when the deadline was added
         */
        void due(long now, long reference);
    }

    /** The time of a deadline that never passes. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final int INITIAL_CAPACITY = 256;

    // The heap: the children of the entry at index i are at 2 * i + 1 and 2 * i + 2.
    private long[] due = new long[INITIAL_CAPACITY];
    private long[] sequence = new long[INITIAL_CAPACITY];
    private long[] reference = new long[INITIAL_CAPACITY];
    private Target[] target = new Target[INITIAL_CAPACITY];
    private int size;
    private long nextSequence;

    /**
     * Adds a deadline.
     *
     * @param at when it passes
     * @param newTarget who is notified
     * @param newReference what the target is given
     */
    public void add(long at, Target newTarget, long newReference) {
        if (size == due.length) {
            grow();
        }
        int index = size++;
        long number = nextSequence++;
        while (index > 0 && due[(index - 1) / 2] > at) {
            move((index - 1) / 2, index);
            index = (index - 1) / 2;
        }
        put(index, at, number, newTarget, newReference);
    }

    private void grow() {
        due = Arrays.copyOf(due, size * 2);
        sequence = Arrays.copyOf(sequence, size * 2);
        reference = Arrays.copyOf(reference, size * 2);
        target = Arrays.copyOf(target, size * 2);
    }

    /** When the next deadline passes, or {@link #NEVER}. */
    public long next() {
        return size == 0 ? NEVER : due[0];
    }

    /** Notifies the targets of all deadlines passed by now, also of those added meanwhile. */
    public void run(long now) {
        while (size > 0 && due[0] <= now) {
            Target firstTarget = target[0];
            long firstReference = reference[0];
            removeFirst();
            firstTarget.due(now, firstReference);
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
        target[last] = null;
    }

    private boolean isBefore(int left, int right) {
        return due[left] < due[right]
                || due[left] == due[right] && sequence[left] < sequence[right];
    }

    private void move(int from, int to) {
        put(to, due[from], sequence[from], target[from], reference[from]);
    }

    private void put(int index, long at, long number, Target newTarget, long newReference) {
        due[index] = at;
        sequence[index] = number;
        target[index] = newTarget;
        reference[index] = newReference;
    }
}
