// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The sessions that this process may use and has in use. Everything is in memory: the request path
 * calls {@link #mayStart} and never waits for the cluster. Owned by one thread. The caller passes
 * the time, in nanoseconds of a monotonic clock that keeps running while the process is stopped.
 *
 * <p>Grants expire without any message, a fixed time after the report that renewed them was
 * created. After the expiry, and without a quorum, the process may only use its floors. Tenants are
 * identified by their index in the settings, engines by a slot in order of registration.
 */
public final class GrantedSessions {
    private final BudgetSettings settings;
    private final String process;
    private final Set<Safeguard> disabledSafeguards;
    private final GrantLease lease;
    private final List<EngineSlot> engines = new ArrayList<>();
    private final Map<String, Integer> slotByName = new HashMap<>();
    private boolean wasGrantLowered;

    /**
     * Creates the state of a process without grants.
     *
     * @param process this process's name; the settings define whether it has floors
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

    /** Returns the slot of an engine and registers the engine if it is new. */
    public int registerEngine(String name, String pool) {
        Integer registeredSlot = slotByName.get(name);
        if (registeredSlot != null) {
            return registeredSlot;
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
     * Whether the tenant may start a session at the engine now. False also if too many sessions at
     * the engine are unacknowledged.
     */
    public boolean mayStart(int tenant, int engine, long now) {
        expireIfDue(now);
        return engines.get(engine).mayStart(tenant, settings.maxUnacknowledged());
    }

    /** How many more sessions the tenant may start now, summed over all engines. */
    public int headroom(int tenant, long now) {
        expireIfDue(now);
        int headroom = 0;
        for (EngineSlot engine : engines) {
            headroom += engine.headroom(tenant, settings.maxUnacknowledged());
        }
        return headroom;
    }

    /** Records a session to be sent; {@link #mayStart} must have returned true in the same turn. */
    public void sessionStarted(int tenant, int engine) {
        engines.get(engine).sessionStarted(tenant);
    }

    /** Records that the engine has acknowledged a session or that the session has ended. */
    public void sessionAcknowledged(int engine, long atIncarnation) {
        engines.get(engine).sessionAcknowledged(atIncarnation);
    }

    /**
     * Records that a session has certainly ended at that incarnation of the engine, or never
     * started there. A broken connection alone is no proof of that.
     */
    public void sessionEnded(int tenant, int engine, long atIncarnation) {
        engines.get(engine).sessionEnded(tenant, atIncarnation);
    }

    /**
     * Sets the engine's incarnation to which new sessions are sent; sessions at an older one have
     * ended.
     */
    public void engineConnected(int engine, long incarnation) {
        engineConnected(engine, incarnation, true);
    }

    /**
     * Like {@link #engineConnected(int, long)}, for an incarnation of the engine that an earlier
     * incarnation of this process may have used.
     *
     * @param isUnusedByPredecessors whether no earlier incarnation of this process can have used
     *     the new incarnation of the engine
     */
    void engineConnected(int engine, long incarnation, boolean isUnusedByPredecessors) {
        EngineSlot slot = engines.get(engine);
        if (incarnation > slot.incarnation()) {
            slot.replaceIncarnation(
                    incarnation, isUnusedByPredecessors ? 0 : BudgetCommand.UNKNOWN_SESSIONS);
        }
    }

    /**
     * Applies an upper bound, from the engine itself, on the sessions that earlier incarnations of
     * this process have there; none of those may be in transit. This makes floors usable without a
     * quorum.
     */
    public void boundOrphaned(int engine, long atIncarnation, int sessions) {
        EngineSlot slot = engines.get(engine);
        if (atIncarnation == slot.incarnation() && atIncarnation != 0) {
            slot.boundOrphaned(sessions);
        }
    }

    /**
     * Creates the state for a new cluster session: no grants, and the sessions started under the
     * old cluster session count as orphaned, with their exact number. Record the ends of the old
     * sessions on this object and call {@link #updateOrphanedFrom} on the new one; record
     * acknowledgements on the new one.
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

    /** Lowers the orphaned sessions to those that still run under the previous cluster session. */
    public void updateOrphanedFrom(GrantedSessions previous, int engine) {
        EngineSlot previousSlot = previous.engines.get(engine);
        if (previousSlot.incarnation() == incarnation(engine)) {
            int sessions = previousSlot.totalSessions() + previousSlot.orphaned();
            boundOrphaned(
                    engine,
                    previousSlot.incarnation(),
                    Math.min(BudgetCommand.UNKNOWN_SESSIONS, sessions));
        }
    }

    /**
     * Whether the floor at the engine is reduced by sessions that earlier incarnations left running
     * or may have left running.
     */
    public boolean isFloorReduced(int engine) {
        return engines.get(engine).isFloorReduced();
    }

    /** Creates the report to send now; its reply renews the lease from this moment. */
    public BudgetCommand.Renew nextReport(long now, DemandEstimator demand) {
        expireIfDue(now);
        wasGrantLowered = false;
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
        return new BudgetCommand.Renew(number, lease.activeVersion(), usages, demands);
    }

    /** Applies the reply to a report; one that is too late or older than the last has no effect. */
    public void applyReply(BudgetCommand.RenewalReply reply, long now) {
        expireIfDue(now);
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
            wasGrantLowered |= engines.get(engine).grantedSum() < sumsBefore[engine];
        }
    }

    private void applyUsage(BudgetCommand.EngineUsage usage) {
        Integer engine = slotByName.get(usage.engine());
        if (engine == null) {
            return;
        }
        // An earlier incarnation of this process may have used this incarnation of the engine.
        engineConnected(engine, usage.incarnation(), false);
        EngineSlot slot = engines.get(engine);
        if (slot.incarnation() == usage.incarnation()) {
            slot.boundOrphaned(usage.orphaned());
        }
    }

    /**
     * Whether the last reply lowered a grant. The next report should then follow at once: only
     * after it has acknowledged the lowered grant may another process use the capacity.
     */
    public boolean wasGrantLowered() {
        return wasGrantLowered;
    }

    private void expireIfDue(long now) {
        if (lease.isPastExpiry(now)) {
            expire();
        }
    }

    /**
     * Ends the grants, because their lease is over or a report was rejected as expired. Only floors
     * remain, and the next report states so.
     */
    public void expire() {
        lease.expire();
        engines.forEach(EngineSlot::revokeGrants);
    }

    /** Whether grants are active; if not, only floors may be used. */
    public boolean hasActiveGrants() {
        return lease.isActive();
    }

    /** The engine's incarnation to which new sessions are sent; 0 if unknown. */
    public long incarnation(int engine) {
        return engines.get(engine).incarnation();
    }

    /** Whether this process has no session in use at any engine. */
    public boolean isIdle() {
        return engines.stream().allMatch(engine -> engine.totalSessions() == 0);
    }

    /** Sessions of the tenant at the engine, including unacknowledged ones. */
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

    /** Limit on all tenants' sessions at the engine; negative if orphaned ones exceed the floor. */
    public int capacity(int engine) {
        return engines.get(engine).capacity();
    }

    /** Sessions granted to the tenant at the engine. */
    public int granted(int tenant, int engine) {
        return engines.get(engine).granted(tenant);
    }
}
