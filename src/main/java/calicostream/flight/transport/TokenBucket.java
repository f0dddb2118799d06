// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

/** A token bucket that may be overdrawn by one charge. It knows no clock. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    private final double capacity;
    private final double tokensPerNano;
    private double tokens;
    private long filledAtNanos;

    /** Starts full, with as many tokens as come in one second. */
    TokenBucket(long tokensPerSecond, long nowNanos) {
        capacity = tokensPerSecond;
        tokensPerNano = tokensPerSecond / NANOS_PER_SECOND;
        tokens = capacity;
        filledAtNanos = nowNanos;
    }

    /** Takes tokens, also beyond those there are. */
    void charge(double count) {
        tokens -= count;
    }

    /** Adds tokens that were earned otherwise than by time. */
    void credit(double count) {
        tokens = Math.min(capacity, tokens + count);
    }

    /** Whether there are tokens at this time. */
    boolean hasTokens(long nowNanos) {
        tokens = Math.min(capacity, tokens + (nowNanos - filledAtNanos) * tokensPerNano);
        filledAtNanos = nowNanos;
        return tokens > 0;
    }

    /** Whether at least half of the tokens are there, as of the last look. */
    boolean isHalfFull() {
        return tokens >= capacity / 2;
    }
}
