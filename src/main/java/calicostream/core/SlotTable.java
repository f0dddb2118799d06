// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A table of numbered slots. A handle names a slot and its generation, so a handle kept past its
 * entry's end, by a timer or a late answer, finds nothing rather than the slot's next tenant.
 * Handles are above 0.
 */
public final class SlotTable<T> {
    private static final int INDEX_BITS = 20;
    private static final int MOST = 1 << INDEX_BITS;
    private Object[] entries = new Object[64];
    private long[] generations = new long[64];
    private int[] free = new int[64];
    private int freeCount;
    private int used;
    private int size;

    public long add(T entry) {
        int index = freeCount > 0 ? free[--freeCount] : used++;
        if (index >= MOST) {
            used--;
            throw new IllegalStateException("slot table full");
        }
        if (index >= entries.length) {
            entries = Arrays.copyOf(entries, index * 2);
            generations = Arrays.copyOf(generations, index * 2);
            free = Arrays.copyOf(free, index * 2);
        }
        entries[index] = entry;
        size++;
        return ++generations[index] << INDEX_BITS | index;
    }

    @SuppressWarnings("unchecked")
    public T get(long handle) {
        int index = (int) (handle & MOST - 1);
        boolean current = handle > 0 && index < used && generations[index] == handle >>> INDEX_BITS;
        return current ? (T) entries[index] : null;
    }

    public T remove(long handle) {
        T entry = get(handle);
        if (entry != null) {
            int index = (int) (handle & MOST - 1);
            entries[index] = null;
            free[freeCount++] = index;
            size--;
        }
        return entry;
    }

    public int size() {
        return size;
    }

    @SuppressWarnings("unchecked")
    public void forEach(Consumer<T> visit) {
        for (int i = 0; i < used; i++) {
            if (entries[i] != null) {
                visit.accept((T) entries[i]);
            }
        }
    }
}
