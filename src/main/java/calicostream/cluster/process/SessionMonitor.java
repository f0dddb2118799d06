// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.MemberSession;

/**
 * Follows a member's session for its status: since when it is open, and which member answered it as
 * the leader. Pure, one thread, monotonic nanoseconds.
 */
final class SessionMonitor {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MemberSession session;
    private long lastSessionId;
    private long openedNanos;
    private int lastAnsweringLeader;

    SessionMonitor(MemberSession session) {
        this.session = session;
    }

    /** Notices whether another session was opened. */
    void onTick(long nowNanos) {
        if (session.sessionId() != lastSessionId) {
            lastSessionId = session.sessionId();
            openedNanos = nowNanos;
        }
    }

    /** A member gave an answer that only the leader gives. */
    void onLeaderAnswer(int member) {
        lastAnsweringLeader = member;
    }

    /** The leader as far as the session knows; 0 if it does not. */
    int leader(long nowNanos) {
        return session.isAlive(nowNanos) ? lastAnsweringLeader : 0;
    }

    boolean isAlive(long nowNanos) {
        return session.isAlive(nowNanos);
    }

    MemberStatus.Session status(long nowNanos) {
        long id = session.sessionId();
        return new MemberStatus.Session(
                id,
                session.isAlive(nowNanos),
                id == 0 ? 0 : (nowNanos - openedNanos) / NANOS_PER_MILLI,
                session.pendingCommands());
    }
}
