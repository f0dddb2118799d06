// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Answers that many clients ask for: equal questions at the same time share one attempt, and an
 * answer lives for a while, unless its catalog changes. An attempt that began before a change is
 * not kept, as it may not have seen it. {@code W} is who waits, {@code V} the answer.
 */
public final class CoalescingCache<W, V> {
    /** What to do with a question: answer it now, wait for an attempt under way, or make one. */
    public enum Lookup {
        HIT,
        JOINED,
        MISS
    }

    private static final class PendingLookup<W> {
        final List<W> waiters = new ArrayList<>();
        final long epoch;

        PendingLookup(long epoch) {
            this.epoch = epoch;
        }
    }

    private record CachedAnswer<V>(String catalog, V answer, long bytes, long expiresAt) {}

    private final long timeToLiveUs;
    private final long maxBytes;
    private final Map<String, PendingLookup<W>> pending = new HashMap<>();
    private final LinkedHashMap<String, CachedAnswer<V>> cache =
            new LinkedHashMap<>(16, 0.75f, true);
    private long cachedBytes;
    private long epoch;
    private long hits, joined, misses;

    public CoalescingCache(long lifeUs, long mostBytes) {
        this.timeToLiveUs = lifeUs;
        this.maxBytes = mostBytes;
    }

    /** A question of somebody who waits for its answer, unless it is there. */
    public Lookup lookUp(long now, String question, W who) {
        if (find(now, question) != null) {
            hits++;
            return Lookup.HIT;
        }
        PendingLookup<W> under = pending.get(question);
        if (under != null
                && under.epoch == epoch) { // One that began before a change is not waited for.
            under.waiters.add(who);
            joined++;
            return Lookup.JOINED;
        }
        misses++;
        pending.put(question, new PendingLookup<>(epoch));
        pending.get(question).waiters.add(who);
        return Lookup.MISS;
    }

    /** The answer, if it is kept and not too old. */
    public V find(long now, String question) {
        CachedAnswer<V> found = cache.get(question);
        if (found != null && found.expiresAt <= now) {
            evict(question);
            return null;
        }
        return found == null ? null : found.answer;
    }

    /** The number of the present state of all catalogs, to be given back with an answer. */
    public long epoch() {
        return epoch;
    }

    /** The attempt made in this epoch brought an answer; those who waited for it are returned. */
    public List<W> complete(
            long now, String question, long askedIn, String catalog, V answer, long size) {
        if (askedIn == epoch && size <= maxBytes / 4 && timeToLiveUs > 0) {
            evict(question);
            cache.put(question, new CachedAnswer<>(catalog, answer, size, now + timeToLiveUs));
            cachedBytes += size;
            while (cachedBytes > maxBytes) {
                evict(cache.keySet().iterator().next());
            }
        }
        return takeWaiters(question, askedIn);
    }

    /** The attempt made in this epoch brought no answer. */
    public List<W> failed(String question, long askedIn) {
        return takeWaiters(question, askedIn);
    }

    private List<W> takeWaiters(String question, long askedIn) {
        PendingLookup<W> under = pending.get(question);
        if (under == null || under.epoch != askedIn) {
            return List.of();
        }
        pending.remove(question);
        return under.waiters;
    }

    /** Somebody who waits has left; true: nobody waits any more, and the attempt is not needed. */
    public boolean waiterGone(String question, W who) {
        PendingLookup<W> under = pending.get(question);
        if (under == null || !under.waiters.remove(who)) {
            return false;
        }
        if (under.waiters.isEmpty()) {
            pending.remove(question);
            return true;
        }
        return false;
    }

    /** A catalog has changed, or any of them may have where its name is empty. */
    public void invalidate(String catalog) {
        epoch++;
        List<String> stale = new ArrayList<>();
        cache.forEach(
                (question, each) -> {
                    if (catalog.isEmpty()
                            || each.catalog.isEmpty()
                            || each.catalog.equals(catalog)) {
                        stale.add(question);
                    }
                });
        stale.forEach(this::evict);
    }

    private void evict(String question) {
        CachedAnswer<V> gone = cache.remove(question);
        cachedBytes -= gone == null ? 0 : gone.bytes;
    }

    public long cachedBytes() {
        return cachedBytes;
    }

    /** Questions answered from memory, that shared an attempt, and that made one. */
    public long[] counts() {
        return new long[] {hits, joined, misses};
    }
}
