// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * A bounded table of values that clients refer to by handle. Each value is visible to its owner
 * only. A value expires when idle for its time to live; at a limit, the least recently used value
 * of the owner, or of the table, is evicted.
 */
public final class HandleTable<T> {
    private record Entry<T>(String owner, T value, long expiresAt) {}

    private final Supplier<String> names;
    private final int maxEntries;
    private final int maxEntriesPerOwner;
    private final long timeToLiveUs;
    private final LinkedHashMap<String, Entry<T>> entries = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Integer> entriesPerOwner = new HashMap<>();

    /**
     * Creates an empty table. {@code names} must supply unguessable handles; the time to live
     * counts from the last use, in microseconds.
     */
    public HandleTable(
            Supplier<String> names, int maxEntries, int maxEntriesPerOwner, long timeToLiveUs) {
        this.names = names;
        this.maxEntries = maxEntries;
        this.maxEntriesPerOwner = maxEntriesPerOwner;
        this.timeToLiveUs = timeToLiveUs;
    }

    /**
     * Stores a value under a new handle, appends the handle to {@code name}, and returns the
     * evicted values.
     */
    public List<T> put(long now, String owner, T value, StringBuilder name) {
        List<T> out = new ArrayList<>();
        if (entriesPerOwner.getOrDefault(owner, 0) >= maxEntriesPerOwner) {
            out.addAll(evict(each -> each.owner.equals(owner)));
        } else if (entries.size() >= maxEntries) {
            out.addAll(evict(each -> true));
        }
        String handle = names.get();
        name.append(handle);
        entries.put(handle, new Entry<>(owner, value, now + timeToLiveUs));
        entriesPerOwner.merge(owner, 1, Integer::sum);
        return out;
    }

    private List<T> evict(Predicate<Entry<T>> which) {
        // The map iterates in access order, least recently used first.
        for (Map.Entry<String, Entry<T>> each : entries.entrySet()) {
            if (which.test(each.getValue())) {
                return List.of(drop(each.getKey()).value);
            }
        }
        return List.of();
    }

    private Entry<T> drop(String name) {
        Entry<T> gone = entries.remove(name);
        if (gone != null) {
            entriesPerOwner.compute(gone.owner, (owner, n) -> n == 1 ? null : n - 1);
        }
        return gone;
    }

    /**
     * The value if it belongs to this owner, with its expiry renewed; null if it is unknown,
     * expired or owned by another.
     */
    public T get(long now, String owner, String name) {
        Entry<T> found = entries.get(name);
        if (found == null || !found.owner.equals(owner) || found.expiresAt <= now) {
            return null;
        }
        entries.put(name, new Entry<>(owner, found.value, now + timeToLiveUs));
        return found.value;
    }

    /** Removes and returns the value if it belongs to this owner; otherwise null. */
    public T remove(long now, String owner, String name) {
        T found = get(now, owner, name);
        if (found != null) {
            drop(name);
        }
        return found;
    }

    /** Removes and returns all values of an owner. */
    public List<T> removeAll(String owner) {
        return removeIf(each -> each.owner.equals(owner));
    }

    /** Removes and returns the expired values. */
    public List<T> expire(long now) {
        return removeIf(each -> each.expiresAt <= now);
    }

    private List<T> removeIf(Predicate<Entry<T>> which) {
        List<T> out = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        for (Iterator<Map.Entry<String, Entry<T>>> each = entries.entrySet().iterator();
                each.hasNext(); ) {
            Map.Entry<String, Entry<T>> entry = each.next();
            if (which.test(entry.getValue())) {
                gone.add(entry.getKey());
            }
        }
        gone.forEach(name -> out.add(drop(name).value));
        return out;
    }

    /** The number of values, including expired ones not yet removed. */
    public int size() {
        return entries.size();
    }

    /** Calls {@code visit} with each value. */
    public void forEach(Consumer<T> visit) {
        entries.values().forEach(each -> visit.accept(each.value));
    }
}
