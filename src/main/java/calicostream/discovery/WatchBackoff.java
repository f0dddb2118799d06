// SPDX-License-Identifier: Apache-2.0
package calicostream.discovery;

import java.util.SplittableRandom;

/**
 * When one front end asks the source of the list again. All front ends of a tier lose the same
 * source in the same moment, so each waits for a time of its own. Times are microseconds of the
 * caller's clock, which never goes back; one thread calls it; the seed decides every wait.
 */
public final class WatchBackoff {
    private static final long SPREAD =
            100_000; // us in which a tier asks a source that ended: short against the grace of
    // drains
    private static final long LONGEST_PAUSE =
            640_000; // us: what the source holds counts as told after 7 s
    private static final long APART =
            50_000; // us from one call to the next at least: a source may hang up each time
    private static final long SILENT =
            2_100_000; // us: a comment comes each second, and one may be late
    private static final long UNBEGUN = 700_000; // us to connect and have the head of the answer
    private final SplittableRandom random;
    private long askedAt;
    private long pause;

    public WatchBackoff(long seed) {
        random = new SplittableRandom(seed);
    }

    /** A call goes out. */
    public void requestStarted(long now) {
        askedAt = now;
    }

    /** The source answers: the next end of it is a first one. */
    public void responseStarted() {
        pause = 0;
    }

    /**
     * Whether a source last heard at that time, whose answer has begun or not, is to be given up.
     */
    public boolean isStalled(long now, long heardAt, boolean begun) {
        return now - heardAt > (begun ? SILENT : UNBEGUN);
    }

    /**
     * The call has ended or could not be made: when to make the next. Somewhere within the spread
     * where the source had answered; else within the second half of a pause that doubles, so that
     * it neither meets the whole tier at once nor waits long when it is back.
     */
    public long nextRequestAt(long now) {
        long wait = pause == 0 ? random.nextLong(SPREAD) : pause / 2 + random.nextLong(pause / 2);
        pause = pause == 0 ? SPREAD : Math.min(LONGEST_PAUSE, pause * 2);
        return Math.max(now + wait, askedAt + APART);
    }
}
