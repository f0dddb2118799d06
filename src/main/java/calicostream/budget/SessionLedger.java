// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Accounts for the sessions that this process has started: which have ended, are in transit or
 * unconfirmed, and what the engines' counts prove about them and about sessions that an earlier
 * process of the same name left running. Owned by one thread; reads no clock: times are nanoseconds
 * of this process's monotonic one.
 *
 * <p>An engine counts all sessions that it runs, of whatever process. Earlier processes of the name
 * are dead, so they start nothing any more; what they had sent is at the engine, or its connection
 * closed, once the transit time is over. A count asked for then bounds what they left. One asked
 * for before bounds nothing: each process that died within that time may have had as many sessions
 * in transit as one may have.
 */
public final class SessionLedger {
    private static final int COUNTS_PER_TRANSIT_TIME = 5;

    /** A session started by this process; it knows under which of the process's joins. */
    public static final class Session {
        private final int joinNumber;
        private final int tenant;
        private final int engine;
        private final long incarnation;
        private boolean isAcknowledged;

        private Session(int joinNumber, int tenant, int engine, long incarnation) {
            this.joinNumber = joinNumber;
            this.tenant = tenant;
            this.engine = engine;
            this.incarnation = incarnation;
        }
    }

    private final long maxTransitNanos;
    private final UnconfirmedSessions unconfirmed;

    /** By engine: when its count is to be asked for next. */
    private final Map<Integer, Long> nextCountAt = new HashMap<>();

    private GrantedSessions current;

    /** Of the join before the present one; null if there was none. */
    private GrantedSessions previous;

    private int joinNumber;
    private long startedAt;

    /**
     * A ledger without sessions.
     *
     * @param maxTransitNanos after which nothing that was sent, by a process that is dead or by a
     *     connection that is closed, is in transit
     * @param now since when no other process of this name runs, or later
     */
    public SessionLedger(BudgetSettings settings, String process, long maxTransitNanos, long now) {
        this(new GrantedSessions(settings, process), maxTransitNanos, now);
    }

    SessionLedger(GrantedSessions grantedSessions, long maxTransitNanos, long now) {
        this.current = grantedSessions;
        this.maxTransitNanos = maxTransitNanos;
        this.startedAt = now;
        this.unconfirmed = new UnconfirmedSessions(maxTransitNanos);
    }

    /** This process is known to be the only one of its name only from now on. */
    public void exclusiveSince(long now) {
        startedAt = now;
    }

    /** What the process may use now; another object after {@link #joined}. */
    public GrantedSessions grantedSessions() {
        return current;
    }

    /**
     * The process has joined under a new cluster session: what runs counts as orphaned, and nothing
     * is granted.
     */
    public void joined() {
        if (joinNumber > 0) {
            previous = current;
            current = previous.forNewClusterSession();
        }
        joinNumber++;
    }

    /** Whether the process has joined at least once. */
    public boolean hasJoined() {
        return joinNumber > 0;
    }

    /**
     * The engine's incarnation by the endpoint list; an older one changes nothing. A list that was
     * read at the start may have been behind, so that an earlier process has used this incarnation
     * too: for a transit time nothing is known of what it left there.
     */
    public void engineConnected(int engine, long incarnation, long now) {
        if (incarnation > current.incarnation(engine)) {
            unconfirmed.engineReplaced(engine);
            current.engineConnected(engine, incarnation, now - startedAt >= maxTransitNanos);
        }
    }

    /** A session is sent, in the turn in which it was found to have capacity. */
    public Session sessionStarted(int tenant, int engine) {
        current.sessionStarted(tenant, engine);
        return new Session(joinNumber, tenant, engine, current.incarnation(engine));
    }

    /** The engine has the session; may be called any number of times. */
    public void sessionAcknowledged(Session session) {
        if (!session.isAcknowledged) {
            session.isAcknowledged = true;
            // The present object has taken over what was unacknowledged before the last join.
            current.sessionAcknowledged(session.engine, session.incarnation);
        }
    }

    /**
     * The session is over here.
     *
     * @param isConfirmed whether it is known to be over at the engine too, or never arrived there
     * @return whether its place is free; if not, the engine's counts will tell
     */
    public boolean sessionEnded(Session session, boolean isConfirmed, long now) {
        sessionAcknowledged(session); // At the engine or nowhere: in transit no longer.
        if (isConfirmed) {
            release(session.joinNumber, session.tenant, session.engine, session.incarnation);
        } else {
            unconfirmed.add(
                    new UnconfirmedSessions.UnconfirmedSession(
                            session.joinNumber,
                            session.tenant,
                            session.engine,
                            session.incarnation,
                            now));
        }
        return isConfirmed;
    }

    /**
     * An engine's count of the sessions of all processes together.
     *
     * @param askedAt time at which the count was asked for, or earlier
     * @return the tenants of the unconfirmed sessions that have ended by this, one for each
     */
    public List<Integer> engineCounted(int engine, long askedAt, int running) {
        List<Integer> tenants = new ArrayList<>();
        for (UnconfirmedSessions.UnconfirmedSession ended :
                unconfirmed.engineCounted(engine, askedAt, running)) {
            release(ended.joinNumber(), ended.tenant(), engine, ended.incarnation());
            tenants.add(ended.tenant());
        }
        // Under a later join the orphaned sessions are this living process's own too, which may be
        // in transit as well.
        if (previous == null && askedAt - startedAt >= maxTransitNanos) {
            current.boundOrphaned(engine, current.incarnation(engine), running);
        }
        return tenants;
    }

    /**
     * Whether to ask the engine for its count now, since its floor is reduced and no grant says
     * more. Returns true once for each time that it is due: at the moment from which a count is
     * proof, and then five times in a transit time.
     */
    public boolean isCountDue(int engine, long now) {
        if (previous != null
                || current.hasActiveGrants()
                || !current.isFloorReduced(engine)
                || now < nextCountAt.getOrDefault(engine, startedAt + maxTransitNanos)) {
            return false;
        }
        nextCountAt.put(engine, now + maxTransitNanos / COUNTS_PER_TRANSIT_TIME);
        return true;
    }

    /** How many sessions were given up whose end no engine has confirmed. */
    public int unconfirmed() {
        return unconfirmed.size();
    }

    /**
     * Releases the place of a session of the present join, or of the one before, whose sessions
     * count as orphaned; those of older joins count until the engines tell.
     */
    private void release(int ofJoin, int tenant, int engine, long incarnation) {
        if (ofJoin == joinNumber) {
            current.sessionEnded(tenant, engine, incarnation);
        } else if (ofJoin == joinNumber - 1 && previous != null) {
            previous.sessionEnded(tenant, engine, incarnation);
            current.updateOrphanedFrom(previous, engine);
        }
    }
}
