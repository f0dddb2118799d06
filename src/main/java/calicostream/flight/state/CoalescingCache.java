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

    /** What an attempt is for; after a change of a catalog the same key is looked up anew. */
    private record AttemptKey(String key, long epoch) {}

    private record CachedValue<V>(String catalog, V value, long bytes, long expiresAt) {}

    private final long timeToLiveUs;
    private final long maxBytes;
    private final Map<AttemptKey, List<W>> waitersByAttempt = new HashMap<>();
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

    /**
     * Looks up a key; on a miss or a join the caller is registered as a waiter of the attempt of
     * the current {@link #epoch}.
     */
    public Lookup lookUp(long now, String key, W waiter) {
        if (find(now, key) != null) {
            hits++;
            return Lookup.HIT;
        }
        // An attempt that began before a catalog change may be stale and is not joined.
        AttemptKey attempt = new AttemptKey(key, epoch);
        List<W> waiters = waitersByAttempt.get(attempt);
        if (waiters != null) {
            waiters.add(waiter);
            joined++;
            return Lookup.JOINED;
        }
        misses++;
        waitersByAttempt.put(attempt, new ArrayList<>(List.of(waiter)));
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

    /** The current catalog epoch, by which the attempts of a key are told apart. */
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
        List<W> waiters = waitersByAttempt.remove(new AttemptKey(key, attemptEpoch));
        return waiters == null ? List.of() : waiters;
    }

    /**
     * Removes a waiter of the attempt of an epoch; true if it was the last one, so that the attempt
     * can be cancelled.
     */
    public boolean waiterGone(String key, long attemptEpoch, W waiter) {
        AttemptKey attempt = new AttemptKey(key, attemptEpoch);
        List<W> waiters = waitersByAttempt.get(attempt);
        if (waiters == null || !waiters.remove(waiter) || !waiters.isEmpty()) {
            return false;
        }
        waitersByAttempt.remove(attempt);
        return true;
    }

    /** The number of callers that wait for an attempt. */
    public int waiters() {
        return waitersByAttempt.values().stream().mapToInt(List::size).sum();
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
