// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Admission control: limits the open calls per client and in total, the open streams, and the bytes
 * of buffered results. Calls are counted on one thread; streams and bytes on any thread.
 */
public final class Admission {
    /** The outcome of an admission check: admitted, or the limit that rejected the call. */
    public enum Decision {
        ADMITTED,
        CLIENT_LIMIT_REACHED,
        TOTAL_LIMIT_REACHED,
        MEMORY_LIMIT_REACHED
    }

    private final int maxCalls;
    private final int maxCallsPerClient;
    private final long maxBytes;
    private final Map<String, Integer> calls = new HashMap<>();
    private final AtomicLong bytesInUse = new AtomicLong();
    private final int maxStreams;
    private final AtomicInteger openStreams = new AtomicInteger();
    private int openCalls;

    /** Creates the limits; {@code maxBytes} bounds the memory of all results. */
    public Admission(int maxCalls, int maxCallsPerClient, long maxBytes, int maxStreams) {
        this.maxStreams = maxStreams;
        this.maxCalls = maxCalls;
        this.maxCallsPerClient = maxCallsPerClient;
        this.maxBytes = maxBytes;
    }

    /**
     * Admits a call unless a limit is reached; {@link #callEnded} must follow once per admitted
     * call.
     */
    public Decision admit(String client) {
        if (openCalls >= maxCalls) {
            return Decision.TOTAL_LIMIT_REACHED;
        }
        if (bytesInUse.get() >= maxBytes) {
            return Decision.MEMORY_LIMIT_REACHED;
        }
        if (calls.getOrDefault(client, 0) >= maxCallsPerClient) {
            return Decision.CLIENT_LIMIT_REACHED;
        }
        calls.merge(client, 1, Integer::sum);
        openCalls++;
        return Decision.ADMITTED;
    }

    /**
     * Ends an admitted call.
     *
     * @throws IllegalStateException if the client has no open call
     */
    public void callEnded(String client) {
        Integer count = calls.get(client);
        if (count == null) {
            throw new IllegalStateException("callEnded without an admitted call");
        }
        calls.compute(client, (name, n) -> n == 1 ? null : n - 1);
        openCalls--;
    }

    /**
     * Reserves memory for a buffered part of a result; false if there is not enough. Buffered
     * results use at most three quarters of the limit, so that clients that do not read their
     * results cannot block the calls of others. Thread-safe.
     */
    public boolean reserve(long amount) {
        long limit = maxBytes / 4 * 3;
        long before =
                bytesInUse.getAndUpdate(used -> used + amount <= limit ? used + amount : used);
        return before + amount <= limit;
    }

    /**
     * Adds bytes already received from a client, regardless of the limit. Above the limit, new
     * calls are rejected. Thread-safe.
     */
    public void charge(long amount) {
        bytesInUse.addAndGet(amount);
    }

    /** Releases reserved or charged bytes. Thread-safe. */
    public void release(long amount) {
        bytesInUse.addAndGet(-amount);
    }

    /**
     * Opens a stream; false if the limit is reached. An open stream may use one flow-control window
     * of memory while its client reads nothing. Thread-safe.
     */
    public boolean beginStream() {
        int before = openStreams.getAndUpdate(n -> n < maxStreams ? n + 1 : n);
        return before < maxStreams;
    }

    /** Closes an open stream. Thread-safe. */
    public void endStream() {
        openStreams.decrementAndGet();
    }

    /** The number of open streams. */
    public int openStreams() {
        return openStreams.get();
    }

    /** The number of open calls of all clients. */
    public int openCalls() {
        return openCalls;
    }

    /** The number of clients with at least one open call. */
    public int clientsWithCalls() {
        return calls.size();
    }

    /** The bytes reserved and charged at present. */
    public long bytesInUse() {
        return bytesInUse.get();
    }
}
