// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * One process's side of one lease. Pure, one thread, its own monotonic time in nanoseconds, of
 * which differences alone mean something. It has one command out at a time: {@link #next} says what
 * to send, and exactly one of {@link #answered}, {@link #refused} and {@link #unsure} ends it. What
 * it holds counts from before it asked, less the bound on drift, and {@link #mayAct} says so at
 * each act, so a process that was stopped finds out before it acts on; what reaches a resource too
 * late all the same, its token stops.
 *
 * <p>A grant from the queue came at a moment that this process can't know: it renews first and
 * counts from there.
 */
public class LeaseHolder {
    /**
     * {@code CONFIRMING}: granted while it waited, not usable before a renewal; {@code ENDING}: it
     * has stopped and says so.
     */
    public enum Phase {
        IDLE,
        ASKING,
        WAITING,
        CONFIRMING,
        HELD,
        ENDING
    }

    /** A command to send, and the number under which its end is told. */
    public record Ask(long number, LeaseCommand command) {}

    /**
     * All that it knows.
     *
     * @param wanted whether it is to hold, or to get rid of what it has
     * @param token held, or being confirmed or ended; 0 if none
     * @param done the greatest token that it is done with: news of this or less are old
     * @param number of the last command
     * @param out whether that one has no end yet
     * @param askedAt when that one went out first
     * @param until it holds; in IDLE, until when it keeps from asking
     * @param renewAt when it asks again
     * @param to who is to follow at a planned stop; 0 the next, -1 nobody
     */
    record State(
            Phase phase,
            boolean wanted,
            long token,
            long done,
            long number,
            boolean out,
            long askedAt,
            long until,
            long renewAt,
            long to) {}

    private static final int RENEWALS = 3; // in a time to live: two may be lost
    private static final int PLACES = 8; // times to live between two polls at most
    private static final int PAUSES = 4; // in a time to live, after a refusal
    private final String name;
    private final long ttl;
    private final ClockDriftBound drift;
    private Phase phase;
    private boolean wanted;
    private long token;
    private long done;
    private long number;
    private boolean out;
    private long askedAt;
    private long until;
    private long renewAt;
    private long to;

    public LeaseHolder(String name, long ttlNanos, long now) {
        this(
                name,
                ttlNanos,
                ClockDriftBound.BOUND,
                new State(Phase.IDLE, false, 0, 0, 0, false, now, now, now, -1));
    }

    LeaseHolder(String name, long ttlNanos, ClockDriftBound drift, State state) {
        this.name = name;
        ttl = ttlNanos;
        this.drift = drift;
        phase = state.phase;
        wanted = state.wanted;
        token = state.token;
        done = state.done;
        number = state.number;
        out = state.out;
        askedAt = state.askedAt;
        until = state.until;
        renewAt = state.renewAt;
        to = state.to;
    }

    State state() {
        return new State(phase, wanted, token, done, number, out, askedAt, until, renewAt, to);
    }

    public String name() {
        return name;
    }

    public Phase phase() {
        return phase;
    }

    // ---- What the process wants
    // -----------------------------------------------------------------------
    /** It wants to hold, and waits its turn. */
    public void want() {
        wanted = true;
    }

    /** It acts no more from this call on, and gives back what it has. */
    public void stop() {
        stop(-1);
    }

    /**
     * A planned stop: as {@link #stop}, and session {@code successor} follows, or the first that
     * waits if it is 0.
     */
    public void transfer(long successor) {
        stop(successor);
    }

    private void stop(long successor) {
        wanted = false;
        to = successor;
        if (phase == Phase.HELD || phase == Phase.CONFIRMING) {
            phase = Phase.ENDING;
        }
    }

    // ---- Acts
    // -----------------------------------------------------------------------------------------
    /**
     * Whether it holds now. To be asked right before each act; false once is false for that token
     * for ever.
     */
    public boolean mayAct(long now) {
        if (phase == Phase.HELD && now - until >= 0) {
            phase = Phase.ENDING; // Also when a renewal is out: whoever was told that it stopped
            // must not find it go on.
        }
        return phase == Phase.HELD;
    }

    /** The token held, being confirmed or ended; 0 if none. */
    long token() {
        return token;
    }

    /** How long ago what it had ran out, or is to, by its own clock. */
    long sinceEnd(long now) {
        return now - until;
    }

    // ---- Commands and their ends
    // ----------------------------------------------------------------------
    /**
     * What is to be sent now; null: nothing. A retry keeps its number and time and is the sender's
     * business, not asked for here.
     */
    public Ask next(long now) {
        mayAct(now);
        if (out) {
            return null;
        }
        return switch (phase) {
            case IDLE ->
                    wanted && now - until >= 0
                            ? ask(now, Phase.ASKING, new LeaseCommand.Acquire(name, ttl, true))
                            : null;
            case WAITING ->
                    !wanted
                            ? ask(now, Phase.WAITING, new LeaseCommand.Withdraw(name))
                            : now - renewAt >= 0
                                    ? ask(
                                            now,
                                            Phase.ASKING,
                                            new LeaseCommand.Acquire(name, ttl, true))
                                    : null;
            case CONFIRMING -> ask(now, Phase.CONFIRMING, new LeaseCommand.Renew(name, token));
            case HELD ->
                    now - renewAt >= 0
                            ? ask(now, Phase.HELD, new LeaseCommand.Renew(name, token))
                            : null;
            case ENDING ->
                    ask(
                            now,
                            Phase.ENDING,
                            to < 0
                                    ? new LeaseCommand.Release(name, token)
                                    : new LeaseCommand.Transfer(name, token, to));
            case ASKING ->
                    throw new IllegalStateException(
                            "lease " + name + " is asked for and no command is out");
        };
    }

    /**
     * When {@link #next} may have something to say though nothing happened; a duration from now, 0
     * at least.
     */
    public long quietFor(long now) {
        if (phase == Phase.HELD) {
            return Math.max(0, out ? until - now : Math.min(renewAt - now, until - now));
        }
        return out || phase == Phase.IDLE && !wanted
                ? ttl
                : Math.max(0, (phase == Phase.WAITING ? renewAt : until) - now);
    }

    private Ask ask(long now, Phase then, LeaseCommand command) {
        phase = then;
        out = true;
        askedAt = now;
        number++;
        return new Ask(number, command);
    }

    /** The command was accepted. */
    public void answered(long now, long of, LeaseAnswer answer) {
        if (!ends(of)) {
            return;
        }
        if (answer instanceof LeaseAnswer.Holds held) {
            holds(now, held.token());
        } else if (answer instanceof LeaseAnswer.Waits waits && phase == Phase.ASKING) {
            waits(now, waits.place());
        } else if (phase != Phase.HELD) {
            over(now, 0);
        }
    }

    private void holds(long now, long granted) {
        if (phase == Phase.ENDING) {
            return; // A renewal's answer: it has stopped since.
        }
        token = granted;
        if (!wanted || granted <= done) {
            phase = Phase.ENDING;
            return;
        }
        long from = countedFrom(askedAt, now);
        phase = Phase.HELD;
        until = from + drift.within(ttl);
        renewAt = from + drift.within(ttl) / RENEWALS;
        mayAct(now);
    }

    /** From when a grant or renewal counts. */
    long countedFrom(long asked, long now) {
        return asked;
    }

    /** The command was refused. */
    public void refused(long now, long of, LeaseRejection why) {
        if (!ends(of)) {
            return;
        }
        if (why instanceof LeaseRejection.AlreadyHolds held && phase != Phase.ENDING) {
            confirm(held.token());
        } else if (why instanceof LeaseRejection.AlreadyWaits waits && phase == Phase.ASKING) {
            waits(now, waits.place());
        } else if (why instanceof LeaseRejection.NoSuccessor && phase == Phase.ENDING) {
            to = -1; // It releases instead.
        } else {
            over(now, ttl / PAUSES);
        }
    }

    /** Nobody knows whether the command was applied, and the sender will not try again. */
    public void unsure(long now, long of) {
        if (ends(of) && phase == Phase.ASKING) {
            phase = Phase.IDLE;
        }
    }

    /**
     * The member's session is over: nothing is out any more, and what it holds can't be renewed.
     */
    public void sessionEnded(long now) {
        over(now, 0);
        out = false;
    }

    /** News that this process's session was granted the lease. */
    public void granted(long now, long of) {
        if (of > done && of > token && (phase == Phase.WAITING || phase == Phase.ASKING)) {
            grantedFromQueue(now, of);
        }
    }

    /**
     * An answer that is still out is to the question that this news answers; it must not be taken
     * for the confirmation.
     */
    void grantedFromQueue(long now, long of) {
        out = false;
        confirm(of);
    }

    /**
     * News may be lost, and a grant that was not taken up is gone: it asks again, and hears its
     * place or what it missed. Whoever has others before it asks less often, or a fleet that waits
     * would fill the log.
     */
    private void waits(long now, long place) {
        phase = Phase.WAITING;
        renewAt = now + ttl * Math.max(1, Math.min(place, PLACES));
    }

    private void confirm(long granted) {
        token = granted;
        phase = wanted ? Phase.CONFIRMING : Phase.ENDING;
    }

    private boolean ends(long of) {
        if (!out || of != number) {
            return false;
        }
        out = false;
        return true;
    }

    private void over(long now, long pause) {
        phase = Phase.IDLE;
        done = Math.max(done, token);
        token = 0;
        to = -1;
        until = now + pause;
    }
}
