// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * The state machine of one process as candidate for, and holder of, one lease. Confined to one
 * thread; no I/O. Times are the process's own monotonic time in nanoseconds, of which only
 * differences are used.
 *
 * <p>At most one command is outstanding: {@link #nextRequest} returns it, and exactly one of {@link
 * #onAnswer}, {@link #onRejected} and {@link #onUnknownOutcome} completes it. A grant is valid from
 * the time at which it was requested, for its time to live less the clock drift bound; {@link
 * #mayAct} checks that before each action, so a process that was paused notices it before it acts
 * again. An action that was checked in time and arrives too late is rejected by its fencing token.
 *
 * <p>A grant from the queue was made at a time that this process cannot know: it is confirmed by a
 * renewal first, and is valid from there.
 */
public class LeaseHolder {
    /**
     * The phases and their transitions.
     *
     * <pre>
     * IDLE        to ACQUIRING   the lease is wanted and the pause after a rejection is over
     * ACQUIRING   to HELD        granted
     *             to WAITING     queued
     *             to CONFIRMING  granted from the queue, or held already by this session
     *             to IDLE        rejected, or the outcome is unknown
     * WAITING     to ACQUIRING   polls its queue position
     *             to CONFIRMING  granted from the queue
     *             to IDLE        has withdrawn
     * CONFIRMING  to HELD        the renewal was accepted
     * HELD        to RELEASING   expired by the local clock, or the lease is no longer wanted
     * RELEASING   to IDLE        released or transferred
     * any         to IDLE        the session ended, or a command was rejected
     * any         to RELEASING   granted when it is no longer wanted
     * </pre>
     */
    public enum Phase {
        /** Neither holds nor requests the lease. */
        IDLE,
        /** A request to acquire the lease is outstanding. */
        ACQUIRING,
        /** Queued. */
        WAITING,
        /** Granted while it was queued; may act once a renewal is accepted. */
        CONFIRMING,
        /** Holds the lease and may act. */
        HELD,
        /** Has stopped acting and gives the lease back. */
        RELEASING
    }

    /**
     * A command to send.
     *
     * @param number identifies the command when its outcome is reported
     * @param command what to send
     */
    public record Request(long number, LeaseCommand command) {}

    /** The lease is released rather than transferred. */
    static final long NO_SUCCESSOR = -1;

    /** Renewals in one time to live, so that two may be lost. */
    private static final int RENEWALS_PER_TTL = 3;

    /** Longest interval between two polls of the queue position, in times to live. */
    private static final int MAX_POLL_INTERVAL_TTLS = 8;

    /** The pause after a rejection is one time to live divided by this. */
    private static final int REJECTION_PAUSES_PER_TTL = 4;

    private final String name;
    private final long ttlNanos;
    private final ClockDriftBound drift;
    private Phase phase;
    private boolean wanted;
    private long token;
    private long lastEndedToken;
    private long requestNumber;
    private boolean requestPending;
    private long requestedAt;
    private long validUntil;
    private long nextRequestAt;
    private long successor;

    /**
     * An idle holder that does not want the lease yet.
     *
     * @param name the lease's name
     * @param ttlNanos time to live, in nanoseconds
     * @param now the process's monotonic time, in nanoseconds
     */
    public LeaseHolder(String name, long ttlNanos, long now) {
        this(
                name,
                ttlNanos,
                ClockDriftBound.STANDARD,
                new LeaseHolderState(
                        Phase.IDLE, false, 0, 0, 0, false, now, now, now, NO_SUCCESSOR));
    }

    LeaseHolder(String name, long ttlNanos, ClockDriftBound drift, LeaseHolderState state) {
        this.name = name;
        this.ttlNanos = ttlNanos;
        this.drift = drift;
        phase = state.phase();
        wanted = state.wanted();
        token = state.token();
        lastEndedToken = state.lastEndedToken();
        requestNumber = state.requestNumber();
        requestPending = state.requestPending();
        requestedAt = state.requestedAt();
        validUntil = state.validUntil();
        nextRequestAt = state.nextRequestAt();
        successor = state.successor();
    }

    /** A copy of the complete state. */
    LeaseHolderState state() {
        return new LeaseHolderState(
                phase,
                wanted,
                token,
                lastEndedToken,
                requestNumber,
                requestPending,
                requestedAt,
                validUntil,
                nextRequestAt,
                successor);
    }

    /** The lease's name. */
    public String name() {
        return name;
    }

    /** The current phase. */
    public Phase phase() {
        return phase;
    }

    // ---- What the process wants

    /** The process wants the lease from now on, and queues for it if another holds it. */
    public void acquire() {
        wanted = true;
    }

    /** The process stops acting at once and releases what it holds. */
    public void release() {
        giveUp(NO_SUCCESSOR);
    }

    /**
     * Planned stop: as {@link #release}, and the given session is granted the lease next.
     *
     * @param successorSession a queued session, or {@link LeaseCommand.Transfer#FIRST_WAITER}
     */
    public void transfer(long successorSession) {
        giveUp(successorSession);
    }

    private void giveUp(long successorSession) {
        wanted = false;
        successor = successorSession;
        if (phase == Phase.HELD || phase == Phase.CONFIRMING) {
            phase = Phase.RELEASING;
        }
    }

    // ---- Actions

    /**
     * Whether the process holds the lease now. To be called right before each action. Once it has
     * returned false for a token it never returns true for it again, also if a renewal is
     * outstanding: a caller that has stopped must not resume under that token.
     */
    public boolean mayAct(long now) {
        if (phase == Phase.HELD && !isValidAt(now)) {
            phase = Phase.RELEASING;
        }
        return phase == Phase.HELD;
    }

    /** What {@link #mayAct} would return, without a change of state. */
    boolean isValidAt(long now) {
        return phase == Phase.HELD && now - validUntil < 0;
    }

    /** The token held, being confirmed or being released; 0 if none. */
    long token() {
        return token;
    }

    /** Nanoseconds since the grant expired by the local clock; negative while it is valid. */
    long nanosSinceExpiry(long now) {
        return now - validUntil;
    }

    // ---- Commands

    /**
     * Returns the command to send now. Its sender repeats it under the same number until it has an
     * outcome; repeats are not requested here.
     *
     * @return null if there is nothing to send
     */
    public Request nextRequest(long now) {
        mayAct(now);
        if (requestPending) {
            return null;
        }
        return switch (phase) {
            case IDLE -> wanted && now - validUntil >= 0 ? requestAcquire(now) : null;
            case WAITING -> nextRequestWhileWaiting(now);
            case CONFIRMING -> request(now, new LeaseCommand.Renew(name, token));
            case HELD ->
                    now - nextRequestAt >= 0
                            ? request(now, new LeaseCommand.Renew(name, token))
                            : null;
            case RELEASING -> request(now, releaseCommand());
            case ACQUIRING ->
                    throw new IllegalStateException(
                            "lease " + name + " is being acquired without a pending command");
        };
    }

    private Request nextRequestWhileWaiting(long now) {
        if (!wanted) {
            return request(now, new LeaseCommand.Withdraw(name));
        }
        return now - nextRequestAt >= 0 ? requestAcquire(now) : null;
    }

    private LeaseCommand releaseCommand() {
        return successor == NO_SUCCESSOR
                ? new LeaseCommand.Release(name, token)
                : new LeaseCommand.Transfer(name, token, successor);
    }

    private Request requestAcquire(long now) {
        phase = Phase.ACQUIRING;
        return request(now, new LeaseCommand.Acquire(name, ttlNanos, true));
    }

    private Request request(long now, LeaseCommand command) {
        requestPending = true;
        requestedAt = now;
        requestNumber++;
        return new Request(requestNumber, command);
    }

    // ---- Outcomes and events

    /**
     * The command was accepted.
     *
     * @param number of the {@link Request}; an outcome of an earlier one is ignored
     */
    public void onAnswer(long now, long number, LeaseAnswer answer) {
        if (!completes(number)) {
            return;
        }
        if (answer instanceof LeaseAnswer.Held held) {
            onHeld(now, held.token());
        } else if (answer instanceof LeaseAnswer.Queued queued && phase == Phase.ACQUIRING) {
            waitInQueue(now, queued.position());
        } else if (phase != Phase.HELD) {
            becomeIdle(now, 0);
        }
    }

    private void onHeld(long now, long grantedToken) {
        if (phase == Phase.RELEASING) {
            return; // The answer to a renewal; the process has stopped acting since.
        }
        token = grantedToken;
        if (!wanted || grantedToken <= lastEndedToken) {
            phase = Phase.RELEASING;
            return;
        }
        long validFrom = validityStart(requestedAt, now);
        long validFor = drift.shortestSpan(ttlNanos);
        phase = Phase.HELD;
        validUntil = validFrom + validFor;
        nextRequestAt = validFrom + validFor / RENEWALS_PER_TTL;
        mayAct(now);
    }

    /**
     * From when a grant or renewal is valid: from its request, as the answer may be as old as the
     * lease. Overridden only to take this safeguard out.
     */
    long validityStart(long requested, long answered) {
        return requested;
    }

    /**
     * The command was rejected.
     *
     * @param number of the {@link Request}; an outcome of an earlier one is ignored
     */
    public void onRejected(long now, long number, LeaseRejection rejection) {
        if (!completes(number)) {
            return;
        }
        if (rejection instanceof LeaseRejection.AlreadyHeld held && phase != Phase.RELEASING) {
            confirm(held.token());
        } else if (rejection instanceof LeaseRejection.AlreadyQueued queued
                && phase == Phase.ACQUIRING) {
            waitInQueue(now, queued.position());
        } else if (rejection instanceof LeaseRejection.NoSuccessor && phase == Phase.RELEASING) {
            successor = NO_SUCCESSOR; // The next command is a release.
        } else {
            becomeIdle(now, ttlNanos / REJECTION_PAUSES_PER_TTL);
        }
    }

    /**
     * It is unknown whether the command was applied, and its sender will not repeat it.
     *
     * @param number of the {@link Request}; an outcome of an earlier one is ignored
     */
    public void onUnknownOutcome(long now, long number) {
        if (completes(number) && phase == Phase.ACQUIRING) {
            phase = Phase.IDLE;
        }
    }

    /** The member's session ended: no command is outstanding, and no grant can be renewed. */
    public void onSessionEnded(long now) {
        becomeIdle(now, 0);
        requestPending = false;
    }

    /**
     * An event says that this process's session was granted the lease.
     *
     * @param grantedToken the grant's token; ignored if it is outdated
     */
    public void onGranted(long now, long grantedToken) {
        boolean isNew = grantedToken > lastEndedToken && grantedToken > token;
        if (isNew && (phase == Phase.WAITING || phase == Phase.ACQUIRING)) {
            onQueuedGrant(now, grantedToken);
        }
    }

    /**
     * A pending command asks what the event has answered; its outcome must not be mistaken for the
     * confirmation, so it is ignored from here on.
     */
    void onQueuedGrant(long now, long grantedToken) {
        requestPending = false;
        confirm(grantedToken);
    }

    /**
     * An event may be lost, and a grant that is not confirmed expires: the queue position is
     * polled. A candidate with others before it polls less often, or many candidates would fill the
     * log.
     */
    private void waitInQueue(long now, long position) {
        phase = Phase.WAITING;
        nextRequestAt = now + ttlNanos * Math.max(1, Math.min(position, MAX_POLL_INTERVAL_TTLS));
    }

    private void confirm(long grantedToken) {
        token = grantedToken;
        phase = wanted ? Phase.CONFIRMING : Phase.RELEASING;
    }

    private boolean completes(long number) {
        if (!requestPending || number != requestNumber) {
            return false;
        }
        requestPending = false;
        return true;
    }

    private void becomeIdle(long now, long pauseNanos) {
        phase = Phase.IDLE;
        lastEndedToken = Math.max(lastEndedToken, token);
        token = 0;
        successor = NO_SUCCESSOR;
        validUntil = now + pauseNanos;
    }
}
