// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What this process may use now, in memory: the request path asks {@link #mayUse} and never the
 * cluster. Owned by one thread; times are nanoseconds of a monotonic clock of this process, which
 * goes on while the process is stopped. Grants end by themselves, counted from before they were
 * asked for; what remains then, and with no quorum, are the floors. Sessions are whole numbers,
 * tenants and engines are slots.
 */
public final class GrantedSessions {
    private final BudgetSettings settings;
    private final String process;
    private final Set<Safeguard> out;
    private final int tenants;
    private final List<String> names = new ArrayList<>();
    private final List<String> pools = new ArrayList<>();
    private final Map<String, Integer> slots = new HashMap<>();
    private final TreeMap<Long, Long> asked = new TreeMap<>();
    // by engine
    private long[] incarnation = new long[0];
    private int[] floor = new int[0];
    private int[] left = new int[0];
    private int[] totalSessions = new int[0];
    private int[] sum = new int[0];
    private int[] capacity = new int[0];
    private int[] inHand = new int[0];
    // by engine and tenant
    private int[] granted = new int[0];
    private int[] use = new int[0];
    private boolean live;
    private long ends;
    private long number;
    private long adopted;
    private long oldest;
    private long version;
    private boolean calledBack;

    public GrantedSessions(BudgetSettings settings, String process) {
        this(settings, process, EnumSet.noneOf(Safeguard.class));
    }

    GrantedSessions(BudgetSettings settings, String process, Set<Safeguard> out) {
        this.settings = settings;
        this.process = process;
        this.out = out;
        this.tenants = settings.tenants().size();
    }

    /** The slot of an engine; a new one if it was not met before. */
    public int registerEngine(String name, String pool) {
        Integer known = slots.get(name);
        if (known != null) {
            return known;
        }
        int slot = names.size();
        int engines = slot + 1;
        int[] wide = floor = Arrays.copyOf(floor, engines);
        wide[slot] = settings.floor(process, pool);
        incarnation = Arrays.copyOf(incarnation, engines);
        left = Arrays.copyOf(left, engines);
        totalSessions = Arrays.copyOf(totalSessions, engines);
        sum = Arrays.copyOf(sum, engines);
        capacity = Arrays.copyOf(capacity, engines);
        inHand = Arrays.copyOf(inHand, engines);
        granted = Arrays.copyOf(granted, engines * tenants);
        use = Arrays.copyOf(use, engines * tenants);
        left[slot] =
                out.contains(Safeguard.FLOOR_AFTER_ORPHANS_KNOWN)
                        ? 0
                        : BudgetCommand.UNKNOWN_SESSIONS;
        names.add(name);
        pools.add(pool);
        slots.put(name, slot);
        refresh(slot);
        return slot;
    }

    /**
     * Whether this tenant has room at this engine now. Sessions that are on their way to the engine
     * are bounded too.
     */
    public boolean mayStart(int tenant, int engine, long now) {
        if (live && now >= ends) {
            expire();
        }
        int in = totalSessions[engine];
        int slot = engine * tenants + tenant;
        return in < capacity[engine]
                && inHand[engine] < settings.maxUnacknowledged()
                && (use[slot] < granted[slot] || in + left[engine] < floor[engine]);
    }

    /** How many sessions the tenant may begin now, at all engines together. */
    public int headroom(int tenant, long now) {
        if (live && now >= ends) {
            expire();
        }
        int free = 0;
        for (int engine = 0; engine < names.size(); engine++) {
            int slot = engine * tenants + tenant;
            int own =
                    Math.max(
                            granted[slot] - use[slot],
                            floor[engine] - left[engine] - totalSessions[engine]);
            free +=
                    Math.max(
                            0,
                            Math.min(
                                    Math.min(
                                            capacity[engine] - totalSessions[engine],
                                            settings.maxUnacknowledged() - inHand[engine]),
                                    own));
        }
        return free;
    }

    /** A session is sent, in the same turn in which it was found to have room. */
    public void sessionStarted(int tenant, int engine) {
        totalSessions[engine]++;
        use[engine * tenants + tenant]++;
        inHand[engine]++;
    }

    /** The engine's word that it has a session, or its end, which says the same. */
    public void sessionAcknowledged(int engine, long atIncarnation) {
        if (incarnation[engine] == atIncarnation && inHand[engine] > 0) {
            inHand[engine]--;
        }
    }

    /**
     * A session is known to have ended at that incarnation, or never to have begun; a broken
     * connection alone does not tell that.
     */
    public void sessionEnded(int tenant, int engine, long atIncarnation) {
        if (incarnation[engine] == atIncarnation) {
            totalSessions[engine]--;
            use[engine * tenants + tenant]--;
        }
    }

    /**
     * The incarnation of the engine that new sessions go to, as its connection tells: what was
     * known here before has ended.
     */
    public void engineConnected(int engine, long at) {
        engineConnected(engine, at, true);
    }

    /**
     * @param latest whether the incarnation known until now was the latest that an earlier process
     *     of this name can have met
     */
    void engineConnected(int engine, long at, boolean latest) {
        if (at > incarnation[engine]) {
            boolean replaced = incarnation[engine] != 0;
            incarnation[engine] = at;
            Arrays.fill(use, engine * tenants, (engine + 1) * tenants, 0);
            Arrays.fill(granted, engine * tenants, (engine + 1) * tenants, 0);
            totalSessions[engine] = 0;
            inHand[engine] = 0;
            sum[engine] = 0;
            if (replaced) {
                left[engine] =
                        latest
                                ? 0
                                : BudgetCommand
                                        .UNKNOWN_SESSIONS; // what earlier starts had there ended
                // with the
                // older incarnation
            }
            refresh(engine);
        }
    }

    /**
     * The engine itself says how many sessions earlier starts of this process have at most, with
     * nothing of theirs on its way: floors without a quorum.
     */
    public void boundOrphaned(int engine, long at, int sessions) {
        if (at == incarnation[engine] && at != 0) {
            left[engine] = Math.min(left[engine], sessions);
            refresh(engine);
        }
    }

    /**
     * What this process goes by under a new session: nothing granted, and what it began under the
     * old one counts as left running, which it knows to the last. The old object hears of those
     * ends, and this one by {@link #leftBy}; of what arrives only this one need hear.
     */
    public GrantedSessions forNewClusterSession() {
        GrantedSessions next = new GrantedSessions(settings, process, out);
        for (int engine = 0; engine < names.size(); engine++) {
            next.registerEngine(names.get(engine), pools.get(engine));
            next.engineConnected(engine, incarnation[engine]);
            next.inHand[engine] = inHand[engine]; // on its way whatever it counts as
            next.updateOrphanedFrom(this, engine);
        }
        return next;
    }

    /** Fewer of this process's own earlier sessions run at the engine. */
    public void updateOrphanedFrom(GrantedSessions before, int engine) {
        if (before.incarnation[engine] == incarnation[engine]) {
            boundOrphaned(
                    engine,
                    incarnation[engine],
                    Math.min(
                            BudgetCommand.UNKNOWN_SESSIONS,
                            before.totalSessions[engine] + before.left[engine]));
        }
    }

    /**
     * Whether what earlier starts have left running at the engine, or may have for all that is
     * known, takes of its floor.
     */
    public boolean isFloorReduced(int engine) {
        return left[engine] > 0 && floor[engine] > 0 && incarnation[engine] != 0;
    }

    /** The report to send now; its answer counts from this moment, on whichever try it is given. */
    public BudgetCommand.Renew nextReport(long now, DemandEstimator demand) {
        if (live && now >= ends) {
            expire();
        }
        asked.put(++number, now);
        calledBack = false;
        if (asked.size() > 64) {
            asked.pollFirstEntry();
        }
        if (!live && !out.contains(Safeguard.NO_REPLY_FROM_BEFORE_EXPIRY)) {
            oldest = number; // this report says that nothing is granted: no earlier answer may make
            // that untrue
        }
        List<BudgetCommand.EngineUsage> uses = new ArrayList<>();
        List<BudgetCommand.TenantDemand> wants = new ArrayList<>();
        for (int engine = 0; engine < names.size(); engine++) {
            if (incarnation[engine] != 0) {
                uses.add(
                        new BudgetCommand.EngineUsage(
                                names.get(engine),
                                incarnation[engine],
                                totalSessions[engine],
                                left[engine]));
            }
            for (int tenant = 0; tenant < tenants; tenant++) {
                int wanted = demand.estimate(tenant, engine);
                if (wanted > 0) {
                    wants.add(
                            new BudgetCommand.TenantDemand(
                                    names.get(engine),
                                    settings.tenants().get(tenant).name(),
                                    wanted));
                }
            }
        }
        return new BudgetCommand.Renew(number, live ? version : 0, uses, wants);
    }

    /** The answer to a report; one that is late, or comes after a newer one, changes nothing. */
    public void applyReply(BudgetCommand.RenewalReply grants, long now) {
        Long from = asked.get(grants.reportNumber());
        if (live && now >= ends) {
            expire();
        }
        if (from == null || grants.reportNumber() < oldest || grants.reportNumber() <= adopted) {
            return;
        }
        long until =
                (out.contains(Safeguard.LEASE_TIMED_FROM_REQUEST) ? now : from)
                        + settings.usableNanos();
        if (now >= until) {
            return;
        }
        adopted = grants.reportNumber();
        asked.headMap(adopted, true).clear();
        live = true;
        ends = until;
        version = grants.grantVersion();
        int[] before = sum;
        sum = new int[before.length];
        Arrays.fill(granted, 0);
        for (BudgetCommand.EngineUsage use : grants.usages()) {
            Integer slot = slots.get(use.engine());
            if (slot != null) {
                engineConnected(
                        slot,
                        use.incarnation(),
                        false); // the machine may have known it before this process began
                if (incarnation[slot] == use.incarnation()) {
                    left[slot] = Math.min(left[slot], use.orphaned());
                }
            }
        }
        for (BudgetCommand.Grant share : grants.grants()) {
            Integer slot = slots.get(share.engine());
            if (slot != null && incarnation[slot] == share.incarnation()) {
                granted[slot * tenants + settings.tenantIndex(share.tenant())] = share.sessions();
                sum[slot] += share.sessions();
            }
        }
        for (int engine = 0; engine < names.size(); engine++) {
            calledBack |= sum[engine] < before[engine];
            refresh(engine);
        }
    }

    /**
     * Something was called back: the sooner the next report says that this is known, the sooner
     * another may use it.
     */
    public boolean isReclaimed() {
        return calledBack;
    }

    /**
     * Refused, or known otherwise to be over: only floors from here on, and the next report says
     * so.
     */
    public void expire() {
        live = false;
        oldest = out.contains(Safeguard.NO_REPLY_FROM_BEFORE_EXPIRY) ? oldest : number + 1;
        Arrays.fill(granted, 0);
        Arrays.fill(sum, 0);
        for (int engine = 0; engine < names.size(); engine++) {
            refresh(engine);
        }
    }

    private void refresh(int engine) {
        capacity[engine] = Math.max(floor[engine] - left[engine], sum[engine]);
    }

    /** Whether grants are in force here; if not, floors are all there is. */
    public boolean hasActiveGrants() {
        return live;
    }

    /** The incarnation that new sessions at the engine go to; 0 if none is known. */
    public long incarnation(int engine) {
        return incarnation[engine];
    }

    /** Nothing of this process is in use anywhere. */
    public boolean isIdle() {
        return Arrays.stream(totalSessions).allMatch(sessions -> sessions == 0);
    }

    /** Of the tenant at the engine, those on their way included. */
    public int sessions(int tenant, int engine) {
        return use[engine * tenants + tenant];
    }

    /** Of the tenant at all engines. */
    public int sessions(int tenant) {
        int sum = 0;
        for (int engine = 0; engine < names.size(); engine++) {
            sum += use[engine * tenants + tenant];
        }
        return sum;
    }

    /** Of all tenants at the engine, and what may be at most. */
    public int totalSessions(int engine) {
        return totalSessions[engine];
    }

    public int capacity(int engine) {
        return capacity[engine];
    }

    /** Sessions granted to the tenant at the engine. */
    public int granted(int tenant, int engine) {
        return granted[engine * tenants + tenant];
    }
}
