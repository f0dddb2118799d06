// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * What all connections hold of messages that have not arrived whole. Beyond the bound only the
 * messages that began first are read on, so that these become whole; of those, one that makes no
 * progress is given up. A message may be as long as gRPC allows, if it comes to that alone. Threads
 * of several connections use one object.
 */
final class PartialMessages {
    private static final long MAX_IDLE_NANOS = 1_000_000_000;

    /** A message that can be given up, from any thread. */
    interface Holder {
        /** Ends the message's stream, soon; its bytes are no longer counted. */
        void giveUp();
    }

    private static final class Held {
        private long bytes;
        private long progressAtNanos;

        /** Whether it is read on while others wait, and since then has to make progress. */
        private boolean isPreferred;
    }

    private final long maxBytes;
    private final LongSupplier nanoClock;

    /** In the order in which they began. */
    private final Map<Holder, Held> messages = new LinkedHashMap<>();

    private long bytes;

    PartialMessages(long maxBytes) {
        this(maxBytes, System::nanoTime);
    }

    PartialMessages(long maxBytes, LongSupplier nanoClock) {
        this.maxBytes = maxBytes;
        this.nanoClock = nanoClock;
    }

    /** More of a message has arrived. */
    synchronized void received(Holder holder, long count) {
        Held held = messages.computeIfAbsent(holder, any -> new Held());
        held.bytes += count;
        held.progressAtNanos = nanoClock.getAsLong();
        bytes += count;
    }

    /** Whether more of this message may be read now. */
    synchronized boolean mayRead(Holder holder) {
        if (bytes <= maxBytes) {
            return true;
        }
        long now = nanoClock.getAsLong();
        long preferredBytes = 0;
        Iterator<Map.Entry<Holder, Held>> firstBegun = messages.entrySet().iterator();
        while (preferredBytes < maxBytes / 2 && firstBegun.hasNext()) {
            Map.Entry<Holder, Held> entry = firstBegun.next();
            Held held = entry.getValue();
            if (isIdle(held, now)) {
                firstBegun.remove();
                bytes -= held.bytes;
                entry.getKey().giveUp();
            } else if (entry.getKey() == holder) {
                return true;
            } else {
                preferredBytes += held.bytes;
            }
        }
        return false;
    }

    private static boolean isIdle(Held held, long now) {
        if (!held.isPreferred) {
            held.isPreferred = true;
            held.progressAtNanos = now;
        }
        return now - held.progressAtNanos > MAX_IDLE_NANOS;
    }

    /** The message is whole, or its stream has ended. */
    synchronized void ended(Holder holder) {
        Held held = messages.remove(holder);
        if (held != null) {
            bytes -= held.bytes;
        }
    }

    /** The bytes that are held now. */
    synchronized long bytes() {
        return bytes;
    }
}
