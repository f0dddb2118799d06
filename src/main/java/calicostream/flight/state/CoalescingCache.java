// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A cache that coalesces concurrent lookups of the same key into one attempt. A value expires after
 * its time to live, or when its catalog changes. The result of an attempt that began before a
 * change is not cached, because it may be stale.
 *
 * @param <W> the waiting caller
 * @param <V> the cached value
 */
public final class CoalescingCache<W, V> {
    /**
     * The outcome of a lookup: cached, joined to a pending attempt, or to be fetched by the caller.
     */
    public enum Lookup {
        HIT,
        JOINED,
        MISS
    }

    /** The number of lookups by outcome since the start. */
    public record LookupCounts(long hits, long joined, long misses) {}

    private static final class PendingLookup<W> {
        final List<W> waiters = new ArrayList<>();
        final long epoch;

        PendingLookup(long epoch) {
            this.epoch = epoch;
        }
    }

    private record CachedValue<V>(String catalog, V value, long bytes, long expiresAt) {}

    private final long timeToLiveUs;
    private final long maxBytes;
    private final Map<String, PendingLookup<W>> pending = new HashMap<>();
    private final LinkedHashMap<String, CachedValue<V>> cache =
            new LinkedHashMap<>(16, 0.75f, true);
    private long cachedBytes;
    private long epoch;
    private long hits;
    private long joined;
    private long misses;

    /** Creates an empty cache; a time to live of 0 microseconds disables caching. */
    public CoalescingCache(long timeToLiveUs, long maxBytes) {
        this.timeToLiveUs = timeToLiveUs;
        this.maxBytes = maxBytes;
    }

    /** Looks up a key; on a miss or a join the caller is registered as a waiter. */
    public Lookup lookUp(long now, String key, W waiter) {
        if (find(now, key) != null) {
            hits++;
            return Lookup.HIT;
        }
        PendingLookup<W> attempt = pending.get(key);
        // An attempt that began before a catalog change may be stale and is not joined.
        if (attempt != null && attempt.epoch == epoch) {
            attempt.waiters.add(waiter);
            joined++;
            return Lookup.JOINED;
        }
        misses++;
        pending.put(key, new PendingLookup<>(epoch));
        pending.get(key).waiters.add(waiter);
        return Lookup.MISS;
    }

    /** The cached value, or null if there is none or it has expired. */
    public V find(long now, String key) {
        CachedValue<V> found = cache.get(key);
        if (found != null && found.expiresAt <= now) {
            evict(key);
            return null;
        }
        return found == null ? null : found.value;
    }

    /** The current catalog epoch, to be passed to {@link #complete} or {@link #failed}. */
    public long epoch() {
        return epoch;
    }

    /** Completes the attempt of an epoch with a value and returns its waiters. */
    public List<W> complete(
            long now, String key, long attemptEpoch, String catalog, V value, long size) {
        if (attemptEpoch == epoch && size <= maxBytes / 4 && timeToLiveUs > 0) {
            evict(key);
            cache.put(key, new CachedValue<>(catalog, value, size, now + timeToLiveUs));
            cachedBytes += size;
            while (cachedBytes > maxBytes) {
                evict(cache.keySet().iterator().next());
            }
        }
        return takeWaiters(key, attemptEpoch);
    }

    /** Fails the attempt of an epoch and returns its waiters. */
    public List<W> failed(String key, long attemptEpoch) {
        return takeWaiters(key, attemptEpoch);
    }

    private List<W> takeWaiters(String key, long attemptEpoch) {
        PendingLookup<W> attempt = pending.get(key);
        if (attempt == null || attempt.epoch != attemptEpoch) {
            return List.of();
        }
        pending.remove(key);
        return attempt.waiters;
    }

    /** Removes a waiter; true if it was the last one, so that the attempt can be cancelled. */
    public boolean waiterGone(String key, W waiter) {
        PendingLookup<W> attempt = pending.get(key);
        if (attempt == null || !attempt.waiters.remove(waiter)) {
            return false;
        }
        if (attempt.waiters.isEmpty()) {
            pending.remove(key);
            return true;
        }
        return false;
    }

    /**
     * Invalidates the values of a catalog and those not tied to one catalog; all values if the name
     * is empty.
     */
    public void invalidate(String catalog) {
        epoch++;
        List<String> stale = new ArrayList<>();
        cache.forEach(
                (key, each) -> {
                    if (catalog.isEmpty()
                            || each.catalog.isEmpty()
                            || each.catalog.equals(catalog)) {
                        stale.add(key);
                    }
                });
        stale.forEach(this::evict);
    }

    private void evict(String key) {
        CachedValue<V> gone = cache.remove(key);
        cachedBytes -= gone == null ? 0 : gone.bytes;
    }

    /** The total size of the cached values in bytes. */
    public long cachedBytes() {
        return cachedBytes;
    }

    /** The number of lookups by outcome. */
    public LookupCounts counts() {
        return new LookupCounts(hits, joined, misses);
    }
}
