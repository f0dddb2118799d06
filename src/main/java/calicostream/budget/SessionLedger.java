// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Accounts for the sessions that this process has started: whether they run, are in transit, have
 * ended, or have an unconfirmed end. Uses the engines' counts to release unconfirmed sessions, and
 * to bound the sessions that an earlier process of the same name left running. Owned by one thread.
 * The caller passes the time, in nanoseconds of this process's monotonic clock.
 *
 * <p>An engine's count covers the sessions of all processes. Earlier processes of this name are
 * dead and start no more sessions; once the transit time is over, each session that they sent has
 * reached the engine or has been lost with its connection. A count requested after that time is an
 * upper bound on the sessions that they left. A count requested earlier is not: every process that
 * died within that time may have had the maximum number of sessions in transit.
 */
public final class SessionLedger {
    private static final int COUNTS_PER_TRANSIT_TIME = 5;

    /** A session that this process started, with the join under which it was started. */
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

    /** By engine: the earliest time of the next count request. */
    private final Map<Integer, Long> nextCountRequestAt = new HashMap<>();

    private GrantedSessions currentSessions;

    /** The state of the previous join; null if there was none. */
    private GrantedSessions previousSessions;

    private int joinNumber;
    private long startedAt;

    /**
     * Creates a ledger without sessions.
     *
     * @param maxTransitNanos upper bound on how long a session sent by a dead process, or over a
     *     closed connection, can be in transit
     * @param now a time from which no other process of this name runs
     */
    public SessionLedger(BudgetSettings settings, String process, long maxTransitNanos, long now) {
        this(new GrantedSessions(settings, process), maxTransitNanos, now);
    }

    SessionLedger(GrantedSessions grantedSessions, long maxTransitNanos, long now) {
        this.currentSessions = grantedSessions;
        this.maxTransitNanos = maxTransitNanos;
        this.startedAt = now;
        this.unconfirmed = new UnconfirmedSessions(maxTransitNanos);
    }

    /** Sets the time from which this process is the only one of its name. */
    public void setExclusiveSince(long now) {
        startedAt = now;
    }

    /** The sessions that the process may use now; {@link #joined} replaces the object. */
    public GrantedSessions grantedSessions() {
        return currentSessions;
    }

    /**
     * Records a join under a new cluster session: running sessions now count as orphaned, and there
     * are no grants.
     */
    public void joined() {
        if (joinNumber > 0) {
            previousSessions = currentSessions;
            currentSessions = previousSessions.forNewClusterSession();
        }
        joinNumber++;
    }

    /** Whether the process has joined at least once. */
    public boolean hasJoined() {
        return joinNumber > 0;
    }

    /**
     * Applies the engine's incarnation from the endpoint list; an older one has no effect. A list
     * read soon after the start may be outdated, and an earlier process of this name may already
     * have used the new incarnation. Within the transit time after the start, the sessions that it
     * left there are therefore unknown.
     */
    public void engineConnected(int engine, long incarnation, long now) {
        if (incarnation > currentSessions.incarnation(engine)) {
            unconfirmed.engineReplaced(engine);
            currentSessions.engineConnected(
                    engine, incarnation, now - startedAt >= maxTransitNanos);
        }
    }

    /** Records a session to be sent, in the turn in which the check for capacity succeeded. */
    public Session sessionStarted(int tenant, int engine) {
        currentSessions.sessionStarted(tenant, engine);
        return new Session(joinNumber, tenant, engine, currentSessions.incarnation(engine));
    }

    /** Records that the engine has received the session; repeated calls have no effect. */
    public void sessionAcknowledged(Session session) {
        if (!session.isAcknowledged) {
            session.isAcknowledged = true;
            // A join carries the unacknowledged sessions over to the current object.
            currentSessions.sessionAcknowledged(session.engine, session.incarnation);
        }
    }

    /**
     * Records that the session has ended at this process.
     *
     * @param isConfirmed whether it has certainly ended at the engine too, or never arrived there
     * @return whether its capacity is free; if not, it is released by a later count of the engine
     */
    public boolean sessionEnded(Session session, boolean isConfirmed, long now) {
        sessionAcknowledged(session); // An ended session is not in transit.
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
     * Applies an engine's count of the sessions of all processes.
     *
     * @param requestedAt when the count was requested, or earlier
     * @return the tenant of each unconfirmed session that the count proves to have ended
     */
    public List<Integer> engineCounted(int engine, long requestedAt, int running) {
        List<Integer> tenants = new ArrayList<>();
        for (UnconfirmedSessions.UnconfirmedSession ended :
                unconfirmed.engineCounted(engine, requestedAt, running)) {
            release(ended.joinNumber(), ended.tenant(), engine, ended.incarnation());
            tenants.add(ended.tenant());
        }
        // After a second join the orphaned sessions include this running process's own, which may
        // still be in transit, so the count is no bound on them.
        if (previousSessions == null && requestedAt - startedAt >= maxTransitNanos) {
            currentSessions.boundOrphaned(engine, currentSessions.incarnation(engine), running);
        }
        return tenants;
    }

    /**
     * Whether to request a count from the engine now, because its floor is reduced and there are no
     * active grants. Returns true once per due time: first when a count becomes usable as a bound,
     * then five times per transit time.
     */
    public boolean isCountDue(int engine, long now) {
        if (previousSessions != null
                || currentSessions.hasActiveGrants()
                || !currentSessions.isFloorReduced(engine)
                || now < nextCountRequestAt.getOrDefault(engine, startedAt + maxTransitNanos)) {
            return false;
        }
        nextCountRequestAt.put(engine, now + maxTransitNanos / COUNTS_PER_TRANSIT_TIME);
        return true;
    }

    /** The number of abandoned sessions whose end no engine has confirmed. */
    public int unconfirmedCount() {
        return unconfirmed.size();
    }

    /**
     * Releases the capacity of a session of the current join or of the previous one, whose sessions
     * count as orphaned. Sessions of older joins count until an engine's count proves their end.
     */
    private void release(int sessionJoinNumber, int tenant, int engine, long incarnation) {
        if (sessionJoinNumber == joinNumber) {
            currentSessions.sessionEnded(tenant, engine, incarnation);
        } else if (sessionJoinNumber == joinNumber - 1 && previousSessions != null) {
            previousSessions.sessionEnded(tenant, engine, incarnation);
            currentSessions.updateOrphanedFrom(previousSessions, engine);
        }
    }
}
