// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A table of numbered slots. A handle names a slot and its generation, so that a handle which a
 * timer or a late answer keeps past the end of its entry finds nothing rather than the slot's next
 * entry. Handles are above 0. One thread.
 */
public final class SlotTable<T> {
    private static final int INDEX_BITS = 20;
    private static final int MAX_ENTRIES = 1 << INDEX_BITS;
    private static final int INDEX_MASK = MAX_ENTRIES - 1;
    private static final int INITIAL_CAPACITY = 64;

    private Object[] entries = new Object[INITIAL_CAPACITY];
    private long[] generations = new long[INITIAL_CAPACITY];
    private int[] freeIndexes = new int[INITIAL_CAPACITY];
    private int freeCount;
    private int usedSlots; // slots that have ever held an entry
    private int size;

    /**
     * Adds an entry.
     *
     * @return its handle
     * @throws IllegalStateException there is no free slot
     */
    public long add(T entry) {
        int index = freeCount > 0 ? freeIndexes[--freeCount] : usedSlots++;
        if (index >= MAX_ENTRIES) {
            usedSlots--;
            throw new IllegalStateException("slot table full");
        }
        if (index >= entries.length) {
            entries = Arrays.copyOf(entries, index * 2);
            generations = Arrays.copyOf(generations, index * 2);
            freeIndexes = Arrays.copyOf(freeIndexes, index * 2);
        }
        entries[index] = entry;
        size++;
        return ++generations[index] << INDEX_BITS | index;
    }

    /** The entry with this handle, or null where it has been removed. */
    @SuppressWarnings("unchecked")
    public T get(long handle) {
        int index = (int) (handle & INDEX_MASK);
        boolean isCurrent =
                handle > 0 && index < usedSlots && generations[index] == handle >>> INDEX_BITS;
        return isCurrent ? (T) entries[index] : null;
    }

    /** Removes the entry with this handle; null where it has been removed before. */
    public T remove(long handle) {
        T entry = get(handle);
        if (entry != null) {
            int index = (int) (handle & INDEX_MASK);
            entries[index] = null;
            freeIndexes[freeCount++] = index;
            size--;
        }
        return entry;
    }

    /** The number of entries. */
    public int size() {
        return size;
    }

    /** Visits all entries, in the order of their slots. */
    @SuppressWarnings("unchecked")
    public void forEach(Consumer<T> visitor) {
        for (int index = 0; index < usedSlots; index++) {
            if (entries[index] != null) {
                visitor.accept((T) entries[index]);
            }
        }
    }
}
