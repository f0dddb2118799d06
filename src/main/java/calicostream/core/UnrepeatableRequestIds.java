// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ObjLongConsumer;

/**
 * Ids of requests that may have run, must not run again, and failed or were left by their clients.
 * A request that comes with such an id is the same one. Bounded: ids expire, and at the limit the
 * oldest is dropped.
 */
final class UnrepeatableRequestIds {
    private static final int MAX_IDS = 16_384;

    /** How long an id is kept. */
    static final long TIME_TO_LIVE_MICROS = 600_000_000;

    /** The time at which each id expires, the earliest first. */
    private final Map<String, Long> expiries = new LinkedHashMap<>();

    void add(String id, long now) {
        removeExpired(now);
        expiries.remove(id);
        expiries.put(id, now + TIME_TO_LIVE_MICROS);
    }

    boolean contains(String id, long now) {
        removeExpired(now);
        return expiries.containsKey(id);
    }

    /** Passes each id on with the time that it is still kept, in microseconds. */
    void forEach(long now, ObjLongConsumer<String> action) {
        removeExpired(now);
        expiries.forEach((id, expiry) -> action.accept(id, expiry - now));
    }

    private void removeExpired(long now) {
        Iterator<Long> earliestFirst = expiries.values().iterator();
        while (earliestFirst.hasNext()
                && (earliestFirst.next() <= now || expiries.size() > MAX_IDS)) {
            earliestFirst.remove();
        }
    }
}
