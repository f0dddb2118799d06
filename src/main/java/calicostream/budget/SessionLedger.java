// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this process has begun, what of it has ended, is on its way or in doubt, and what its
 * engines' counts say of that and of what an earlier process of its name may have left running.
 * Owned by one thread; reads no clock: times are nanoseconds of this process's monotonic one.
 *
 * <p>An engine counts all that it runs, whoever sent it. Earlier processes of the name are dead, so
 * nothing of them begins any more; what they had sent is at the engine, or its connection closed,
 * once the travel time is over. A count asked for then bounds what they left. One asked for before
 * bounds nothing: each of those that died within that time may have had as many on the way as one
 * may have.
 */
public final class SessionLedger {
    private static final int LOOKS = 5; // in a travel time

    /** A session begun by this process; it knows under which of the process's joins. */
    public static final class Session {
        private final int start;
        private final int tenant;
        private final int engine;
        private final long incarnation;
        private boolean arrived;

        private Session(int start, int tenant, int engine, long incarnation) {
            this.start = start;
            this.tenant = tenant;
            this.engine = engine;
            this.incarnation = incarnation;
        }
    }

    private final long travelNanos;
    private final UnconfirmedSessions doubts;
    private final Map<Integer, Long> looks = new HashMap<>();
    private GrantedSessions grantedSessions;
    private GrantedSessions former;
    private int start;
    private long startedAt;

    /**
     * @param travelNanos after which nothing that was sent, by a process that is dead or by a
     *     connection that is closed, is on its way
     * @param now since when no other process of this name runs, or later
     */
    public SessionLedger(BudgetSettings settings, String process, long travelNanos, long now) {
        this(new GrantedSessions(settings, process), travelNanos, now);
    }

    SessionLedger(GrantedSessions holdings, long travelNanos, long now) {
        this.grantedSessions = holdings;
        this.travelNanos = travelNanos;
        this.startedAt = now;
        doubts = new UnconfirmedSessions(travelNanos);
    }

    /** The same process, but known to be the only one of its name only from now on. */
    public void exclusiveSince(long now) {
        startedAt = now;
    }

    /** What it goes by now; another object after {@link #joined}. */
    public GrantedSessions grantedSessions() {
        return grantedSessions;
    }

    /**
     * Under a new session at the cluster: what runs counts as left running, and nothing is granted.
     */
    public void joined() {
        if (start++ > 0) {
            former = grantedSessions;
            grantedSessions = former.forNewClusterSession();
        }
    }

    public boolean hasJoined() {
        return start > 0;
    }

    /**
     * The engine's incarnation by the list; an older one is no news. A list that was read at the
     * start may have been behind, so that the earlier process has met this incarnation too: for a
     * travel time nothing is known of what it left there.
     */
    public void engineConnected(int engine, long incarnation, long now) {
        if (incarnation > grantedSessions.incarnation(engine)) {
            doubts.engineReplaced(engine);
            grantedSessions.engineConnected(engine, incarnation, now - startedAt >= travelNanos);
        }
    }

    /** Sent, in the turn in which it was found to have room. */
    public Session sessionStarted(int tenant, int engine) {
        grantedSessions.sessionStarted(tenant, engine);
        return new Session(start, tenant, engine, grantedSessions.incarnation(engine));
    }

    /** The engine has it; said any number of times. */
    public void sessionAcknowledged(Session session) {
        if (!session.arrived) {
            session.arrived = true;
            grantedSessions.sessionAcknowledged(
                    session.engine,
                    session.incarnation); // which has taken over what was on its way before the
            // last join
        }
    }

    /**
     * It is over here.
     *
     * @param known that it is over at the engine too, or never came there
     * @return whether a place is free for it; if not, its engine's counts will tell
     */
    public boolean sessionEnded(Session session, boolean known, long now) {
        sessionAcknowledged(session); // at the engine or nowhere: it is in hand no longer
        if (known) {
            ended(session.start, session.tenant, session.engine, session.incarnation);
        } else {
            doubts.add(
                    new UnconfirmedSessions.UnconfirmedSession(
                            session.start,
                            session.tenant,
                            session.engine,
                            session.incarnation,
                            now));
        }
        return known;
    }

    /**
     * How many sessions the engine runs of all processes together, as of that time or later.
     *
     * @return the tenants of the sessions in doubt that have ended by this, one for each
     */
    public List<Integer> engineCounted(int engine, long askedAt, int running) {
        List<Integer> tenants = new ArrayList<>();
        for (UnconfirmedSessions.UnconfirmedSession each :
                doubts.engineCounted(engine, askedAt, running)) {
            ended(each.joinNumber(), each.tenant(), engine, each.incarnation());
            tenants.add(each.tenant());
        }
        // Under a later join what counts as left is this living process's own too, which is on its
        // way as well.
        if (former == null && askedAt - startedAt >= travelNanos) {
            grantedSessions.boundOrphaned(engine, grantedSessions.incarnation(engine), running);
        }
        return tenants;
    }

    /**
     * Whether to ask the engine for its count now, since its floor is not whole and no grant says
     * more. Yes is said once for each time that it is due: in the moment from which a count is
     * proof, and then five times in a travel time.
     */
    public boolean isCountDue(int engine, long now) {
        if (former != null
                || grantedSessions.hasActiveGrants()
                || !grantedSessions.isFloorReduced(engine)
                || now < looks.getOrDefault(engine, startedAt + travelNanos)) {
            return false;
        }
        looks.put(engine, now + travelNanos / LOOKS);
        return true;
    }

    /** Sessions given up whose end no engine has told. */
    public int unconfirmed() {
        return doubts.size();
    }

    /**
     * Of this join, or of the one before, which counts as left running; older ones count until the
     * engines tell.
     */
    private GrantedSessions by(int number) {
        return number == start ? grantedSessions : number == start - 1 ? former : null;
    }

    private void ended(int number, int tenant, int engine, long incarnation) {
        GrantedSessions by = by(number);
        if (by != null) {
            by.sessionEnded(tenant, engine, incarnation);
            if (by == former) {
                grantedSessions.updateOrphanedFrom(former, engine);
            }
        }
    }
}
