// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

/**
 * What becomes of one attempt's result as its parts arrive. Up to {@code holdBytes} it is held, so
 * that a break costs no more than another attempt; past that, or where there is no room to hold it,
 * the stream begins. Owned by the attempt.
 */
public final class ResultBuffer {
    /**
     * What to do with a part: keep it, begin the stream with all that is kept and this, pass it on,
     * or give up.
     */
    public enum Verdict {
        HOLD,
        BEGIN,
        PASS,
        TOO_LONG
    }

    private final long holdBytes;
    private final long mostBytes;
    private final boolean mayBegin;
    private long seen;
    private boolean begun;

    /**
     * {@code mostBytes} 0: no bound. Where the result {@code mayBegin} not, what can't be held is
     * too long.
     */
    public ResultBuffer(long holdBytes, long mostBytes, boolean mayBegin) {
        this.holdBytes = holdBytes;
        this.mostBytes = mostBytes;
        this.mayBegin = mayBegin;
    }

    /** {@code room}: whether so much can be held beside all else that is. */
    public Verdict next(long bytes, boolean room) {
        seen += bytes;
        if (mostBytes > 0 && seen > mostBytes) {
            return Verdict.TOO_LONG;
        }
        if (begun) {
            return Verdict.PASS;
        }
        if (seen <= holdBytes && room) {
            return Verdict.HOLD;
        }
        if (!mayBegin) {
            return Verdict.TOO_LONG;
        }
        begun = true;
        return Verdict.BEGIN;
    }

    /** The bound that a result which is too long was over. */
    public long bound() {
        return mostBytes > 0 && seen > mostBytes || mayBegin ? mostBytes : holdBytes;
    }

    public boolean hasBegun() {
        return begun;
    }

    public long seen() {
        return seen;
    }
}
