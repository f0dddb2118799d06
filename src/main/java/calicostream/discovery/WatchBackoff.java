// SPDX-License-Identifier: Apache-2.0
package calicostream.discovery;

import java.util.SplittableRandom;

/**
 * Decides when a server watches the endpoint list again after its watch has ended: jittered
 * exponential backoff, since all servers lose the same source at the same moment. Times are
 * microseconds of the caller's clock, which never goes back. One thread calls it. The seed
 * determines every wait.
 */
public final class WatchBackoff {
    /** The first retry falls into this time: short against the time that an engine drains. */
    private static final long INITIAL_JITTER_MICROS = 100_000;

    /** The list counts as unknown after 7 s without news: several retries fit into that. */
    private static final long MAX_BACKOFF_MICROS = 640_000;

    /** From one request to the next at least: a source may close each connection at once. */
    private static final long MIN_REQUEST_INTERVAL_MICROS = 50_000;

    /** The source sends a comment each second; one of them may be late. */
    private static final long STREAM_SILENCE_TIMEOUT_MICROS = 2_100_000;

    /** Time to connect and to receive the head of the response. */
    private static final long RESPONSE_TIMEOUT_MICROS = 700_000;

    private final SplittableRandom random;
    private long lastRequestAt;

    /** The upper bound of the next wait; 0 after a response has started. */
    private long backoff;

    /** Creates a backoff in its initial state. */
    public WatchBackoff(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Records that a request is sent now. */
    public void requestStarted(long now) {
        lastRequestAt = now;
    }

    /** Records that the source responds; the next wait is an initial one. */
    public void responseStarted() {
        backoff = 0;
    }

    /**
     * Whether to give up a request.
     *
     * @param lastReceivedAt when bytes last came from the source, or the request was sent
     * @param responding whether the response has started
     */
    public boolean isStalled(long now, long lastReceivedAt, boolean responding) {
        long timeout = responding ? STREAM_SILENCE_TIMEOUT_MICROS : RESPONSE_TIMEOUT_MICROS;
        return now - lastReceivedAt > timeout;
    }

    /**
     * Computes when to send the next request, after one has ended or could not be sent. Each call
     * doubles the backoff. The wait is drawn from the whole initial interval where the source had
     * responded, and from the upper half of the backoff else, so that the servers neither return at
     * the same moment nor wait long once the source is back.
     */
    public long nextRequestAt(long now) {
        long wait;
        if (backoff == 0) {
            wait = random.nextLong(INITIAL_JITTER_MICROS);
            backoff = INITIAL_JITTER_MICROS;
        } else {
            wait = backoff / 2 + random.nextLong(backoff / 2);
            backoff = Math.min(MAX_BACKOFF_MICROS, backoff * 2);
        }
        return Math.max(now + wait, lastRequestAt + MIN_REQUEST_INTERVAL_MICROS);
    }
}
