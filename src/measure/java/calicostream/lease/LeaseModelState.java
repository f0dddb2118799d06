// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.lease.LeaseHolder.Phase;

/**
 * The layout of a state of {@link LeaseModel}: members, what is under way between them and the log,
 * the leader's watch, the resource, and what the judge remembers. Every time is kept as a distance
 * from now by its owner's clock, so that states recur and there are finitely many of them.
 */
final class LeaseModelState {
    static final long NOW =
            1_000_000; // What every clock shows when a class of the product is asked.
    static final int NUMBER = 10; // The number of a member's last command.

    // What there is once.
    static final int MACHINE = 0; // three bytes: which snapshot
    static final int LEADER = 3;
    static final int CHANGES_LEFT = 4;
    static final int COPIES_LEFT = 5;
    static final int ENDS_LEFT = 6;
    static final int EXPIRE_TOKEN = 7;
    static final int EXPIRE_RENEWALS = 8;
    static final int SEEN_TOKEN = 9;
    static final int SEEN_RENEWALS = 10;
    static final int SEEN_AGO = 11;
    static final int FENCE = 12;
    static final int LOG_TOKEN = 13;
    static final int LOG_ACTS = 14;
    static final int GIVEN = 15;
    static final int CLOCKS = 16;
    static final int ONCE = 17;

    // What each member has.
    static final int PHASE = 0;
    static final int WANTED = 1;
    static final int TOKEN = 2;
    static final int DONE = 3;
    static final int ASKED_AGO = 4;
    static final int UNTIL_IN = 5;
    static final int RENEW_IN = 6;
    static final int TO = 7;
    static final int OUT = 8; // The command whose end is not known: kind, token.
    static final int ASKS =
            10; // Copies of commands under way: kind, token, whether of an earlier number; twice.
    static final int APPLIED =
            16; // Whether the command that is out was applied; the answer that is remembered for
    // it: kind, token.
    static final int REPLY = 19; // An answer under way: kind, token.
    static final int NEWS = 21; // A grant under way: token.
    static final int ENDED = 22; // Its session: 1 over, 2 and it knows.
    static final int CHECKED =
            23; // An act that was checked and has not reached the resource: token.
    static final int ACTS_LEFT = 24;
    static final int LOG_ACTS_LEFT = 25;
    static final int STOPS_LEFT = 26;
    static final int EACH = 27;

    static final int COPIES = 2;
    static final int COPY = 3;

    private LeaseModelState() {}

    static int place(int m) {
        return ONCE + m * EACH;
    }

    static int members(byte[] s) {
        return (s.length - ONCE) / EACH;
    }

    static int machine(byte[] s) {
        return (s[MACHINE] & 0xff) << 16 | (s[MACHINE + 1] & 0xff) << 8 | s[MACHINE + 2] & 0xff;
    }

    static void machine(byte[] s, int id) {
        s[MACHINE] = (byte) (id >> 16);
        s[MACHINE + 1] = (byte) (id >> 8);
        s[MACHINE + 2] = (byte) id;
    }

    /** Whether the command that is out is the holder's own, and no act. */
    static boolean holderAsks(byte[] s, int at) {
        return s[at + OUT] != 0 && s[at + OUT] != LeaseTransitions.ACT;
    }

    static LeaseHolder holder(byte[] s, int m, LeaseComponents parts, String name, long ttl) {
        int at = place(m);
        return parts.holder(
                name,
                ttl,
                new LeaseHolderState(
                        Phase.values()[s[at + PHASE]],
                        s[at + WANTED] != 0,
                        s[at + TOKEN],
                        s[at + DONE],
                        NUMBER,
                        holderAsks(s, at),
                        NOW - s[at + ASKED_AGO],
                        NOW + s[at + UNTIL_IN],
                        NOW + s[at + RENEW_IN],
                        s[at + TO]));
    }

    /** Keeps what the holder knows, and of its times only what can still matter. */
    static void keep(byte[] s, int m, LeaseHolder holder, long ttl) {
        int at = place(m);
        LeaseHolderState h = holder.state();
        s[at + PHASE] = (byte) h.phase().ordinal();
        s[at + WANTED] = (byte) (h.wanted() ? 1 : 0);
        s[at + TOKEN] = (byte) h.token();
        s[at + DONE] = (byte) h.lastEndedToken();
        s[at + ASKED_AGO] = (byte) (h.requestPending() ? Math.min(ttl, NOW - h.requestedAt()) : 0);
        s[at + UNTIL_IN] =
                (byte)
                        (h.phase() == Phase.HELD || h.phase() == Phase.IDLE
                                ? Math.max(0, h.validUntil() - NOW)
                                : 0);
        s[at + RENEW_IN] =
                (byte)
                        ((h.phase() == Phase.HELD || h.phase() == Phase.WAITING)
                                        && !h.requestPending()
                                ? Math.max(0, h.nextRequestAt() - NOW)
                                : 0);
        s[at + TO] = (byte) h.successor();
        if (!h.requestPending() && holderAsks(s, at)) {
            s[at + OUT] = 0;
            s[at + OUT + 1] = 0;
        }
    }

    /** A clock goes on. */
    static void pass(byte[] s, int at, int by, long ttl) {
        if (holderAsks(s, at)) {
            s[at + ASKED_AGO] = (byte) Math.min(ttl, s[at + ASKED_AGO] + by);
        }
        s[at + UNTIL_IN] = (byte) Math.max(0, s[at + UNTIL_IN] - by);
        s[at + RENEW_IN] = (byte) Math.max(0, s[at + RENEW_IN] - by);
    }
}
