// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The sessions that this process may use and uses, in memory: the request path asks {@link
 * #mayStart} and never the cluster. Owned by one thread; reads no clock: times are nanoseconds of a
 * monotonic clock of this process, which goes on while the process is stopped.
 *
 * <p>Grants expire by themselves, counted from before they were asked for; what remains then, and
 * without a quorum, are the floors. Sessions are whole numbers; tenants are indexes of the
 * settings, engines are slots in order of their registration.
 */
public final class GrantedSessions {
    private final BudgetSettings settings;
    private final String process;
    private final Set<Safeguard> disabledSafeguards;
    private final GrantLease lease;
    private final List<EngineSlot> engines = new ArrayList<>();
    private final Map<String, Integer> slotByName = new HashMap<>();
    private boolean isReclaimed;

    /**
     * The sessions of a process that has been granted nothing.
     *
     * @param process this process's name, by which the settings may give it floors
     */
    public GrantedSessions(BudgetSettings settings, String process) {
        this(settings, process, EnumSet.noneOf(Safeguard.class));
    }

    GrantedSessions(BudgetSettings settings, String process, Set<Safeguard> disabledSafeguards) {
        this.settings = settings;
        this.process = process;
        this.disabledSafeguards = disabledSafeguards;
        this.lease = new GrantLease(settings, disabledSafeguards);
    }

    /** The slot of an engine; a new one if it was not registered before. */
    public int registerEngine(String name, String pool) {
        Integer known = slotByName.get(name);
        if (known != null) {
            return known;
        }
        int slot = engines.size();
        int orphaned =
                disabledSafeguards.contains(Safeguard.FLOOR_AFTER_ORPHANS_KNOWN)
                        ? 0
                        : BudgetCommand.UNKNOWN_SESSIONS;
        engines.add(
                new EngineSlot(
                        name,
                        pool,
                        settings.floor(process, pool),
                        orphaned,
                        settings.tenants().size()));
        slotByName.put(name, slot);
        return slot;
    }

    /**
     * Whether this tenant may start a session at this engine now. Sessions that the engine has not
     * acknowledged are bounded too.
     */
    public boolean mayStart(int tenant, int engine, long now) {
        expireIfOver(now);
        return engines.get(engine).mayStart(tenant, settings.maxUnacknowledged());
    }

    /** How many sessions the tenant may start now, at all engines together. */
    public int headroom(int tenant, long now) {
        expireIfOver(now);
        int headroom = 0;
        for (EngineSlot engine : engines) {
            headroom += engine.headroom(tenant, settings.maxUnacknowledged());
        }
        return headroom;
    }

    /** A session is sent, in the same turn in which {@link #mayStart} said yes. */
    public void sessionStarted(int tenant, int engine) {
        engines.get(engine).sessionStarted(tenant);
    }

    /** The engine has acknowledged a session, or the session has ended there. */
    public void sessionAcknowledged(int engine, long atIncarnation) {
        engines.get(engine).sessionAcknowledged(atIncarnation);
    }

    /**
     * A session is known to have ended at that incarnation, or never to have started; a broken
     * connection alone does not prove that.
     */
    public void sessionEnded(int tenant, int engine, long atIncarnation) {
        engines.get(engine).sessionEnded(tenant, atIncarnation);
    }

    /**
     * The incarnation of the engine that new sessions go to: what was known of an older one has
     * ended.
     */
    public void engineConnected(int engine, long incarnation) {
        engineConnected(engine, incarnation, true);
    }

    /**
     * The same, where an earlier incarnation of this process may have used this one of the engine.
     *
     * @param wasLatestKnown whether the incarnation known until now was the latest that an earlier
     *     process of this name can have used
     */
    void engineConnected(int engine, long incarnation, boolean wasLatestKnown) {
        EngineSlot slot = engines.get(engine);
        if (incarnation > slot.incarnation()) {
            slot.replaceIncarnation(
                    incarnation, wasLatestKnown ? 0 : BudgetCommand.UNKNOWN_SESSIONS);
        }
    }

    /**
     * The engine itself says how many sessions earlier incarnations of this process have at most,
     * with nothing of theirs in transit: this opens floors without a quorum.
     */
    public void boundOrphaned(int engine, long atIncarnation, int sessions) {
        EngineSlot slot = engines.get(engine);
        if (atIncarnation == slot.incarnation() && atIncarnation != 0) {
            slot.boundOrphaned(sessions);
        }
    }

    /**
     * What this process may use under a new cluster session: nothing granted, and what it started
     * under the old one counts as orphaned, which it knows exactly. Ends of those sessions go to
     * this object, from where {@link #updateOrphanedFrom} takes them; acknowledgements go to the
     * new one.
     */
    public GrantedSessions forNewClusterSession() {
        GrantedSessions next = new GrantedSessions(settings, process, disabledSafeguards);
        for (int engine = 0; engine < engines.size(); engine++) {
            EngineSlot slot = engines.get(engine);
            next.registerEngine(slot.name(), slot.pool());
            next.engineConnected(engine, slot.incarnation());
            next.engines.get(engine).setUnacknowledged(slot.unacknowledged());
            next.updateOrphanedFrom(this, engine);
        }
        return next;
    }

    /** Fewer sessions of this process's previous cluster session run at the engine. */
    public void updateOrphanedFrom(GrantedSessions previous, int engine) {
        EngineSlot before = previous.engines.get(engine);
        if (before.incarnation() == incarnation(engine)) {
            int sessions = before.totalSessions() + before.orphaned();
            boundOrphaned(
                    engine,
                    before.incarnation(),
                    Math.min(BudgetCommand.UNKNOWN_SESSIONS, sessions));
        }
    }

    /**
     * Whether sessions that earlier incarnations have left running at the engine, or may have for
     * all that is known, reduce its floor.
     */
    public boolean isFloorReduced(int engine) {
        return engines.get(engine).isFloorReduced();
    }

    /** The report to send now; its reply counts from this moment, whenever it is received. */
    public BudgetCommand.Renew nextReport(long now, DemandEstimator demand) {
        expireIfOver(now);
        isReclaimed = false;
        long number = lease.beginReport(now);
        List<BudgetCommand.EngineUsage> usages = new ArrayList<>();
        List<BudgetCommand.TenantDemand> demands = new ArrayList<>();
        for (int engine = 0; engine < engines.size(); engine++) {
            EngineSlot slot = engines.get(engine);
            if (slot.incarnation() != 0) {
                usages.add(
                        new BudgetCommand.EngineUsage(
                                slot.name(),
                                slot.incarnation(),
                                slot.totalSessions(),
                                slot.orphaned()));
            }
            for (int tenant = 0; tenant < settings.tenants().size(); tenant++) {
                int sessions = demand.estimate(tenant, engine);
                if (sessions > 0) {
                    demands.add(
                            new BudgetCommand.TenantDemand(
                                    slot.name(), settings.tenants().get(tenant).name(), sessions));
                }
            }
        }
        return new BudgetCommand.Renew(number, lease.usedVersion(), usages, demands);
    }

    /** The reply to a report; one that is late, or received after a newer one, changes nothing. */
    public void applyReply(BudgetCommand.RenewalReply reply, long now) {
        expireIfOver(now);
        if (!lease.renew(reply, now)) {
            return;
        }
        int[] sumsBefore = engines.stream().mapToInt(EngineSlot::grantedSum).toArray();
        engines.forEach(EngineSlot::revokeGrants);
        for (BudgetCommand.EngineUsage usage : reply.usages()) {
            applyUsage(usage);
        }
        for (BudgetCommand.Grant grant : reply.grants()) {
            Integer engine = slotByName.get(grant.engine());
            if (engine != null && incarnation(engine) == grant.incarnation()) {
                engines.get(engine)
                        .addGrant(settings.tenantIndex(grant.tenant()), grant.sessions());
            }
        }
        for (int engine = 0; engine < sumsBefore.length; engine++) {
            isReclaimed |= engines.get(engine).grantedSum() < sumsBefore[engine];
        }
    }

    private void applyUsage(BudgetCommand.EngineUsage usage) {
        Integer engine = slotByName.get(usage.engine());
        if (engine == null) {
            return;
        }
        // The state machine may have known this incarnation before this process started.
        engineConnected(engine, usage.incarnation(), false);
        EngineSlot slot = engines.get(engine);
        if (slot.incarnation() == usage.incarnation()) {
            slot.boundOrphaned(usage.orphaned());
        }
    }

    /**
     * Whether the last reply lowered a grant: the sooner the next report acknowledges that, the
     * sooner another process may use it.
     */
    public boolean isReclaimed() {
        return isReclaimed;
    }

    private void expireIfOver(long now) {
        if (lease.isOver(now)) {
            expire();
        }
    }

    /**
     * The grants are over, by time or because a report was refused: only floors from here on, and
     * the next report says so.
     */
    public void expire() {
        lease.expire();
        engines.forEach(EngineSlot::revokeGrants);
    }

    /** Whether grants are in force here; if not, floors are all there is. */
    public boolean hasActiveGrants() {
        return lease.isActive();
    }

    /** The incarnation that new sessions at the engine go to; 0 if none is known. */
    public long incarnation(int engine) {
        return engines.get(engine).incarnation();
    }

    /** Whether no session of this process is in use anywhere. */
    public boolean isIdle() {
        return engines.stream().allMatch(engine -> engine.totalSessions() == 0);
    }

    /** Sessions of the tenant at the engine, unacknowledged ones included. */
    public int sessions(int tenant, int engine) {
        return engines.get(engine).sessions(tenant);
    }

    /** Sessions of the tenant at all engines. */
    public int sessions(int tenant) {
        int sum = 0;
        for (EngineSlot engine : engines) {
            sum += engine.sessions(tenant);
        }
        return sum;
    }

    /** Sessions of all tenants at the engine. */
    public int totalSessions(int engine) {
        return engines.get(engine).totalSessions();
    }

    /** The most sessions of all tenants at the engine; negative if orphaned ones pass the floor. */
    public int capacity(int engine) {
        return engines.get(engine).capacity();
    }

    /** Sessions granted to the tenant at the engine. */
    public int granted(int tenant, int engine) {
        return engines.get(engine).granted(tenant);
    }
}
