// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * The local state machine with which one process acquires, renews and releases one lease. Confined
 * to one thread; no I/O. Times are readings of the process's own monotonic clock in nanoseconds, of
 * which only differences are used.
 *
 * <p>At most one command is outstanding: {@link #nextRequest} returns it, and exactly one of {@link
 * #onAnswer}, {@link #onRejected} and {@link #onUnknownOutcome} completes it. A grant is valid from
 * the time at which it was requested, for its time to live minus the clock drift bound. {@link
 * #mayAct} checks this before each action, so a process that was paused detects the expiry before
 * it acts again. An action that passed the check in time but arrives too late is rejected because
 * of its fencing token.
 *
 * <p>The time of a grant to a queued session is unknown to this process. Such a grant is first
 * confirmed by a renewal, and is valid from the time of that renewal's request.
 */
public class LeaseHolder {
    /**
     * The phases of a holder and their transitions.
     *
     * <pre>
     * IDLE        to ACQUIRING   the lease is wanted and the pause after a rejection has elapsed
     * ACQUIRING   to HELD        granted
     *             to WAITING     queued
     *             to CONFIRMING  granted while queued, or already held by this session
     *             to IDLE        rejected, or the outcome is unknown
     * WAITING     to ACQUIRING   polls its queue position
     *             to CONFIRMING  granted while queued
     *             to IDLE        withdrew from the queue
     * CONFIRMING  to HELD        the renewal was accepted
     * HELD        to RELEASING   expired by the local clock, or the lease is no longer wanted
     * RELEASING   to IDLE        released or transferred
     * any         to IDLE        the session ended, or a command was rejected
     * any         to RELEASING   granted although it is no longer wanted
     * </pre>
     */
    public enum Phase {
        /** Neither holds nor requests the lease. */
        IDLE,
        /** A request to acquire the lease is outstanding. */
        ACQUIRING,
        /** Queued for the lease. */
        WAITING,
        /** Granted, but not confirmed; may act once a renewal is accepted. */
        CONFIRMING,
        /** Holds the lease and may act. */
        HELD,
        /** Has stopped acting and releases the lease. */
        RELEASING
    }

    /**
     * A command to send.
     *
     * @param number identifies the command when its outcome is reported
     * @param command the command to send
     */
    public record Request(long number, LeaseCommand command) {}

    /** Value of the successor if the lease is released instead of transferred. */
    static final long NO_SUCCESSOR = -1;

    /** Renewals per time to live; with 3, two successive renewals may be lost. */
    private static final int RENEWALS_PER_TTL = 3;

    /** Maximum interval between two polls of the queue position, in times to live. */
    private static final int MAX_POLL_INTERVAL_TTLS = 8;

    /** The pause after a rejection is one time to live divided by this number. */
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
     * Creates an idle holder that does not want the lease yet.
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

    /** Starts to acquire the lease, and queues for it if another session holds it. */
    public void acquire() {
        wanted = true;
    }

    /** Stops acting immediately and releases the lease if it is held. */
    public void release() {
        releaseTo(NO_SUCCESSOR);
    }

    /**
     * Like {@link #release}, but the given session is granted the lease next. Used for planned
     * stops.
     *
     * @param successorSession a queued session, or {@link LeaseCommand.Transfer#FIRST_WAITER}
     */
    public void transfer(long successorSession) {
        releaseTo(successorSession);
    }

    private void releaseTo(long successorSession) {
        wanted = false;
        successor = successorSession;
        if (phase == Phase.HELD || phase == Phase.CONFIRMING) {
            phase = Phase.RELEASING;
        }
    }

    /**
     * Whether the process holds the lease now. Must be called immediately before each action. Once
     * this method has returned false for a token, it never returns true for that token again, even
     * if a renewal is outstanding: a caller that has stopped must not resume under the same token.
     */
    public boolean mayAct(long now) {
        if (phase == Phase.HELD && !isValidAt(now)) {
            phase = Phase.RELEASING;
        }
        return phase == Phase.HELD;
    }

    /** Returns the same value as {@link #mayAct}, without changing the state. */
    boolean isValidAt(long now) {
        return phase == Phase.HELD && now - validUntil < 0;
    }

    /** The token that is held, being confirmed or being released; 0 if there is none. */
    long token() {
        return token;
    }

    /** Nanoseconds since the grant expired by the local clock; negative while it is valid. */
    long nanosSinceExpiry(long now) {
        return now - validUntil;
    }

    /**
     * Returns the command to send now. The caller repeats the command under the same number until
     * its outcome is known; this method does not return it again.
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

    /**
     * Called when the command was accepted.
     *
     * @param number number of the {@link Request}; outcomes of earlier requests are ignored
     */
    public void onAnswer(long now, long number, LeaseAnswer answer) {
        if (!completesPendingRequest(number)) {
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
            return; // Answers a renewal that was sent before the process stopped acting.
        }
        token = grantedToken;
        if (!wanted || grantedToken <= lastEndedToken) {
            phase = Phase.RELEASING;
            return;
        }
        long validFrom = validityStart(requestedAt, now);
        long validFor = drift.minLocalNanos(ttlNanos);
        phase = Phase.HELD;
        validUntil = validFrom + validFor;
        nextRequestAt = validFrom + validFor / RENEWALS_PER_TTL;
        mayAct(now);
    }

    /**
     * The time from which a grant or renewal is valid: its request, as the answer may arrive a
     * whole time to live later. Overridden only by model checks and simulations that remove this
     * safeguard.
     */
    long validityStart(long requestedTime, long answeredTime) {
        return requestedTime;
    }

    /**
     * Called when the command was rejected.
     *
     * @param number number of the {@link Request}; outcomes of earlier requests are ignored
     */
    public void onRejected(long now, long number, LeaseRejection rejection) {
        if (!completesPendingRequest(number)) {
            return;
        }
        if (rejection instanceof LeaseRejection.AlreadyHeld held && phase != Phase.RELEASING) {
            startConfirming(held.token());
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
     * Called when it is unknown whether the command was applied and the caller will not repeat it.
     *
     * @param number number of the {@link Request}; outcomes of earlier requests are ignored
     */
    public void onUnknownOutcome(long now, long number) {
        if (completesPendingRequest(number) && phase == Phase.ACQUIRING) {
            phase = Phase.IDLE;
        }
    }

    /**
     * Called when the member's session has ended: no command is outstanding any more, and no grant
     * can be renewed.
     */
    public void onSessionEnded(long now) {
        becomeIdle(now, 0);
        requestPending = false;
    }

    /**
     * Called on an event that reports a grant of the lease to this process's session.
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
     * Starts to confirm a grant that an event reported. The event supersedes the pending command,
     * whose outcome must not be mistaken for the confirmation and is ignored from now on.
     */
    void onQueuedGrant(long now, long grantedToken) {
        requestPending = false;
        startConfirming(grantedToken);
    }

    /**
     * Enters the queue. The queue position is polled, because the event of a grant may be lost and
     * an unconfirmed grant expires. A session further back in the queue polls less often; otherwise
     * many queued sessions would fill the log.
     */
    private void waitInQueue(long now, long position) {
        phase = Phase.WAITING;
        nextRequestAt = now + ttlNanos * Math.max(1, Math.min(position, MAX_POLL_INTERVAL_TTLS));
    }

    private void startConfirming(long grantedToken) {
        token = grantedToken;
        phase = wanted ? Phase.CONFIRMING : Phase.RELEASING;
    }

    private boolean completesPendingRequest(long number) {
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
