// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Things that clients have been given a name for. Each belongs to one owner; to all others it does
 * not exist. A thing is forgotten when its time is over, and the least recently used of an owner,
 * then of all, when there are too many.
 */
public final class HandleTable<T> {
    private record Entry<T>(String owner, T value, long expiresAt) {}

    private final Supplier<String> names;
    private final int maxEntries;
    private final int maxEntriesPerOwner;
    private final long timeToLiveUs;
    private final LinkedHashMap<String, Entry<T>> entries = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Integer> entriesPerOwner = new java.util.HashMap<>();

    /** {@code names} must be beyond guessing; {@code keptUs} counts from the last use. */
    public HandleTable(Supplier<String> names, int most, int mostOfOwner, long keptUs) {
        this.names = names;
        this.maxEntries = most;
        this.maxEntriesPerOwner = mostOfOwner;
        this.timeToLiveUs = keptUs;
    }

    /** Keeps a thing under a new name, which is added to; what had to go for it is returned. */
    public List<T> put(long now, String owner, T thing, StringBuilder name) {
        List<T> out = new ArrayList<>();
        if (entriesPerOwner.getOrDefault(owner, 0) >= maxEntriesPerOwner) {
            out.addAll(evict(each -> each.owner.equals(owner)));
        } else if (entries.size() >= maxEntries) {
            out.addAll(evict(each -> true));
        }
        String made = names.get();
        name.append(made);
        entries.put(made, new Entry<>(owner, thing, now + timeToLiveUs));
        entriesPerOwner.merge(owner, 1, Integer::sum);
        return out;
    }

    private List<T> evict(java.util.function.Predicate<Entry<T>> which) {
        for (Map.Entry<String, Entry<T>> each : entries.entrySet()) { // least recently used first
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
     * The thing, if it is this owner's; its time begins anew. Null otherwise, whatever the reason.
     */
    public T get(long now, String owner, String name) {
        Entry<T> found = entries.get(name);
        if (found == null || !found.owner.equals(owner) || found.expiresAt <= now) {
            return null;
        }
        entries.put(name, new Entry<>(owner, found.value, now + timeToLiveUs));
        return found.value;
    }

    /** Takes it out, if it is this owner's. */
    public T remove(long now, String owner, String name) {
        T found = get(now, owner, name);
        if (found != null) {
            drop(name);
        }
        return found;
    }

    /** Takes out all that an owner has. */
    public List<T> removeAll(String owner) {
        return removeIf(each -> each.owner.equals(owner));
    }

    /** Takes out what nobody has used for too long. */
    public List<T> expire(long now) {
        return removeIf(each -> each.expiresAt <= now);
    }

    private List<T> removeIf(java.util.function.Predicate<Entry<T>> which) {
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

    public int size() {
        return entries.size();
    }

    public void forEach(java.util.function.Consumer<T> visit) {
        entries.values().forEach(each -> visit.accept(each.value));
    }
}
