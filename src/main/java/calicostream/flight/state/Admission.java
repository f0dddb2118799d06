// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds on what clients have open at once: calls of one client, calls in all, streams, and bytes
 * that results hold. Calls are counted on one thread; streams and bytes from any.
 */
public final class Admission {
    /** Why a call is turned away, or that it is not. */
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

    public Admission(int mostCalls, int mostOfClient, long mostBytes, int mostStreams) {
        this.maxStreams = mostStreams;
        this.maxCalls = mostCalls;
        this.maxCallsPerClient = mostOfClient;
        this.maxBytes = mostBytes;
    }

    /** Takes a call, unless a bound forbids it; each one taken must {@link #leave} once. */
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

    public void callEnded(String client) {
        Integer count = calls.get(client);
        if (count == null) {
            throw new IllegalStateException("left more often than entered");
        }
        calls.compute(client, (name, n) -> n == 1 ? null : n - 1);
        openCalls--;
    }

    /**
     * Sets room aside for a held part of a result; false where there is none. Held results take
     * three quarters at most: clients that don't read theirs must not shut out the calls of others.
     * From any thread.
     */
    public boolean reserve(long amount) {
        long most = maxBytes / 4 * 3;
        long before = bytesInUse.getAndUpdate(held -> held + amount <= most ? held + amount : held);
        return before + amount <= most;
    }

    /**
     * Counts what a client has sent and is here now, whatever the bound: past it new calls are
     * turned away.
     */
    public void charge(long amount) {
        bytesInUse.addAndGet(amount);
    }

    /** Gives room back. From any thread. */
    public void release(long amount) {
        bytesInUse.addAndGet(-amount);
    }

    /**
     * Lets a stream begin, which may take a window of memory for as long as its client reads
     * nothing. From any thread.
     */
    public boolean beginStream() {
        int before = openStreams.getAndUpdate(n -> n < maxStreams ? n + 1 : n);
        return before < maxStreams;
    }

    /** A stream that began has ended. From any thread. */
    public void endStream() {
        openStreams.decrementAndGet();
    }

    public int openStreams() {
        return openStreams.get();
    }

    public int openCalls() {
        return openCalls;
    }

    public int clientsWithCalls() {
        return calls.size();
    }

    public long bytesInUse() {
        return bytesInUse.get();
    }
}
