// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A table of entries that are looked up by handle. A handle consists of a slot index and the slot's
 * generation, so that a stale handle, held by a timer or a late answer, finds no entry instead of
 * the next entry in the same slot. Handles are positive. Not thread-safe.
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
    private int usedSlotCount; // number of slots that have ever held an entry
    private int size;

    /**
     * Adds an entry.
     *
     * @return the handle of the entry
     * @throws IllegalStateException if there is no free slot
     */
    public long add(T entry) {
        int index = freeCount > 0 ? freeIndexes[--freeCount] : usedSlotCount++;
        if (index >= MAX_ENTRIES) {
            usedSlotCount--;
            throw new IllegalStateException("slot table is full");
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

    /** Returns the entry with this handle, or null if it was removed. */
    @SuppressWarnings("unchecked")
    public T get(long handle) {
        int index = (int) (handle & INDEX_MASK);
        boolean isCurrent =
                handle > 0 && index < usedSlotCount && generations[index] == handle >>> INDEX_BITS;
        return isCurrent ? (T) entries[index] : null;
    }

    /** Removes and returns the entry with this handle; null if it was removed before. */
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

    /** Returns the number of entries. */
    public int size() {
        return size;
    }

    /** Calls the visitor with each entry, in slot order. */
    @SuppressWarnings("unchecked")
    public void forEach(Consumer<T> visitor) {
        for (int index = 0; index < usedSlotCount; index++) {
            if (entries[index] != null) {
                visitor.accept((T) entries[index]);
            }
        }
    }
}
