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
    public enum Answer {
        TAKEN,
        CLIENT_FULL,
        ALL_FULL,
        BYTES_FULL
    }

    private final int mostCalls;
    private final int mostOfClient;
    private final long mostBytes;
    private final Map<String, Integer> calls = new HashMap<>();
    private final AtomicLong bytes = new AtomicLong();
    private final int mostStreams;
    private final AtomicInteger streams = new AtomicInteger();
    private int open;

    public Admission(int mostCalls, int mostOfClient, long mostBytes, int mostStreams) {
        this.mostStreams = mostStreams;
        this.mostCalls = mostCalls;
        this.mostOfClient = mostOfClient;
        this.mostBytes = mostBytes;
    }

    /** Takes a call, unless a bound forbids it; each one taken must {@link #leave} once. */
    public Answer enter(String client) {
        if (open >= mostCalls) {
            return Answer.ALL_FULL;
        }
        if (bytes.get() >= mostBytes) {
            return Answer.BYTES_FULL;
        }
        if (calls.getOrDefault(client, 0) >= mostOfClient) {
            return Answer.CLIENT_FULL;
        }
        calls.merge(client, 1, Integer::sum);
        open++;
        return Answer.TAKEN;
    }

    public void leave(String client) {
        Integer count = calls.get(client);
        if (count == null) {
            throw new IllegalStateException("left more often than entered");
        }
        calls.compute(client, (name, n) -> n == 1 ? null : n - 1);
        open--;
    }

    /**
     * Sets room aside for a held part of a result; false where there is none. Held results take
     * three quarters at most: clients that don't read theirs must not shut out the calls of others.
     * From any thread.
     */
    public boolean reserve(long amount) {
        long most = mostBytes / 4 * 3;
        long before = bytes.getAndUpdate(held -> held + amount <= most ? held + amount : held);
        return before + amount <= most;
    }

    /**
     * Counts what a client has sent and is here now, whatever the bound: past it new calls are
     * turned away.
     */
    public void charge(long amount) {
        bytes.addAndGet(amount);
    }

    /** Gives room back. From any thread. */
    public void release(long amount) {
        bytes.addAndGet(-amount);
    }

    /**
     * Lets a stream begin, which may take a window of memory for as long as its client reads
     * nothing. From any thread.
     */
    public boolean beginStream() {
        int before = streams.getAndUpdate(n -> n < mostStreams ? n + 1 : n);
        return before < mostStreams;
    }

    /** A stream that began has ended. From any thread. */
    public void endStream() {
        streams.decrementAndGet();
    }

    public int streams() {
        return streams.get();
    }

    public int open() {
        return open;
    }

    public int clients() {
        return calls.size();
    }

    public long bytes() {
        return bytes.get();
    }
}
