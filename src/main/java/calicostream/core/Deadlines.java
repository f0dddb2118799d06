// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.Arrays;

/**
 * Every deadline of the process in one binary heap, earliest first, equal ones in the order made.
 * Entries are never taken out: a target ignores a reference whose slot has moved on.
 */
public final class Deadlines {
    /** Who is told of a due deadline. */
    public interface Target {
        void due(long now, long reference);
    }

    public static final long NEVER = Long.MAX_VALUE;
    private long[] due = new long[256];
    private long[] order = new long[256];
    private long[] reference = new long[256];
    private Target[] target = new Target[256];
    private int size;
    private long made;

    public void add(long at, Target to, long ref) {
        if (size == due.length) {
            due = Arrays.copyOf(due, size * 2);
            order = Arrays.copyOf(order, size * 2);
            reference = Arrays.copyOf(reference, size * 2);
            target = Arrays.copyOf(target, size * 2);
        }
        int i = size++;
        long number = made++;
        while (i > 0 && due[(i - 1) / 2] > at) {
            move((i - 1) / 2, i);
            i = (i - 1) / 2;
        }
        put(i, at, number, to, ref);
    }

    /** When the next one is due, or {@link #NEVER}. */
    public long next() {
        return size == 0 ? NEVER : due[0];
    }

    /** Tells the targets of all that is due by now, also of what they add meanwhile. */
    public void run(long now) {
        while (size > 0 && due[0] <= now) {
            Target to = target[0];
            long ref = reference[0];
            removeFirst();
            to.due(now, ref);
        }
    }

    private void removeFirst() {
        int last = --size;
        int i = 0;
        for (int child = 1; child < last; child = 2 * i + 1) {
            if (child + 1 < last && before(child + 1, child)) {
                child++;
            }
            if (!before(child, last)) {
                break;
            }
            move(child, i);
            i = child;
        }
        move(last, i);
        target[last] = null;
    }

    private boolean before(int a, int b) {
        return due[a] < due[b] || due[a] == due[b] && order[a] < order[b];
    }

    private void move(int from, int to) {
        put(to, due[from], order[from], target[from], reference[from]);
    }

    private void put(int i, long at, long number, Target to, long ref) {
        due[i] = at;
        order[i] = number;
        target[i] = to;
        reference[i] = ref;
    }
}
