// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import calicostream.rig.LinkFault.Kind;
import java.util.ArrayDeque;

/**
 * What passes when in one direction of a relayed connection: counts of bytes and times, no bytes
 * and no sockets. Times are monotonic nanoseconds and never go back. At most {@link #ROOM} bytes
 * wait; what does not fit is not read, so that the sender feels it.
 */
final class ProxiedLink {
    static final int ROOM = 64 * 1024;
    private static final long NEVER = Long.MAX_VALUE;
    private static final long BURST =
            20_000_000; // ns of a throttled link's rate that may go at once

    /** Bytes that may go on from then on. */
    private static final class Piece {
        final long due;
        int bytes;

        Piece(long due, int bytes) {
            this.due = due;
            this.bytes = bytes;
        }
    }

    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private LinkFault fault = LinkFault.NONE;
    private int held;
    private long passed;
    private long lastDue;
    private long filledAt;
    private double allowance; // bytes
    private boolean holed;

    /**
     * What is wrong from now on. What waits already goes by the new rule, but is not delayed anew.
     */
    void set(LinkFault to, long now) {
        if (to.kind() == Kind.SWALLOW) {
            holed |= held > 0;
            held = 0;
            pieces.clear();
        }
        if (to.kind() == Kind.THROTTLE) {
            allowance = 0;
            filledAt = now;
        }
        if (to.kind() == Kind.RESET_AFTER) {
            passed = 0;
        }
        fault = to;
    }

    /** Whether the connection must end: closed, or reset where {@link #isReset}. */
    boolean isOver() {
        return fault.kind() == Kind.CUT || isReset() || holed && fault.kind() != Kind.SWALLOW;
    }

    boolean isReset() {
        return fault.kind() == Kind.RESET_AFTER && passed >= fault.amount();
    }

    /** How much may be read. */
    int room() {
        return switch (fault.kind()) {
            case CUT, MUTE -> 0;
            case SWALLOW -> ROOM;
            default -> ROOM - held;
        };
    }

    /** So much was read; under SWALLOW none of it is kept. */
    void took(int bytes, long now) {
        if (fault.kind() == Kind.SWALLOW) {
            holed = true;
            return;
        }
        lastDue =
                Math.max(
                        lastDue,
                        fault.kind() == Kind.DELAY
                                ? now + fault.amount()
                                : now); // Bytes never overtake each other.
        pieces.add(new Piece(lastDue, bytes));
        held += bytes;
    }

    /** How much may be written now. */
    int due(long now) {
        if (isHeldBack() || isOver()) {
            return 0;
        }
        int ripe = 0;
        for (Piece each : pieces) {
            if (each.due > now) {
                break;
            }
            ripe += each.bytes;
        }
        if (fault.kind() == Kind.THROTTLE) {
            fill(now);
            ripe = (int) Math.min(ripe, allowance);
        }
        return fault.kind() == Kind.RESET_AFTER
                ? (int) Math.min(ripe, fault.amount() - passed)
                : ripe;
    }

    private boolean isHeldBack() {
        return fault.kind() == Kind.STALL
                || fault.kind() == Kind.MUTE
                || fault.kind() == Kind.SWALLOW;
    }

    private void fill(long now) {
        double most = Math.max(1, (double) fault.amount() * BURST / 1e9);
        allowance = Math.min(most, allowance + (double) fault.amount() * (now - filledAt) / 1e9);
        filledAt = now;
    }

    /** Whether the byte so many behind the next one is to be spoilt. */
    boolean spoils(int behind) {
        return fault.kind() == Kind.ROT && (passed + behind + 1) % fault.amount() == 0;
    }

    /** So much of what was due was written. */
    void gave(int bytes) {
        for (int left = bytes; left > 0; ) {
            Piece first = pieces.getFirst();
            int part = Math.min(left, first.bytes);
            first.bytes -= part;
            left -= part;
            if (first.bytes == 0) {
                pieces.removeFirst();
            }
        }
        held -= bytes;
        passed += bytes;
        allowance -= fault.kind() == Kind.THROTTLE ? bytes : 0;
    }

    /** When to look again although nothing else happens; {@link Long#MAX_VALUE} for never. */
    long nextLook(long now) {
        if (pieces.isEmpty() || isHeldBack() || isOver()) {
            return NEVER;
        }
        long due = Math.max(now, pieces.getFirst().due);
        if (fault.kind() == Kind.THROTTLE && due <= now && allowance < 1) {
            return filledAt + (long) ((1 - allowance) * 1e9 / fault.amount()) + 1;
        }
        return due;
    }

    int held() {
        return held;
    }
}
