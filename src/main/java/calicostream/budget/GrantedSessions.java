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
    private int[] total = new int[0];
    private int[] sum = new int[0];
    private int[] room = new int[0];
    private int[] inHand = new int[0];
    // by engine and tenant
    private int[] limit = new int[0];
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
    public int engine(String name, String pool) {
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
        total = Arrays.copyOf(total, engines);
        sum = Arrays.copyOf(sum, engines);
        room = Arrays.copyOf(room, engines);
        inHand = Arrays.copyOf(inHand, engines);
        limit = Arrays.copyOf(limit, engines * tenants);
        use = Arrays.copyOf(use, engines * tenants);
        left[slot] = out.contains(Safeguard.FLOOR_AFTER_LEFT_KNOWN) ? 0 : BudgetCommand.UNKNOWN;
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
    public boolean mayUse(int tenant, int engine, long now) {
        if (live && now >= ends) {
            lapse();
        }
        int in = total[engine];
        int slot = engine * tenants + tenant;
        return in < room[engine]
                && inHand[engine] < settings.inHand()
                && (use[slot] < limit[slot] || in + left[engine] < floor[engine]);
    }

    /** How many sessions the tenant may begin now, at all engines together. */
    public int free(int tenant, long now) {
        if (live && now >= ends) {
            lapse();
        }
        int free = 0;
        for (int engine = 0; engine < names.size(); engine++) {
            int slot = engine * tenants + tenant;
            int own =
                    Math.max(limit[slot] - use[slot], floor[engine] - left[engine] - total[engine]);
            free +=
                    Math.max(
                            0,
                            Math.min(
                                    Math.min(
                                            room[engine] - total[engine],
                                            settings.inHand() - inHand[engine]),
                                    own));
        }
        return free;
    }

    /** A session is sent, in the same turn in which it was found to have room. */
    public void begun(int tenant, int engine) {
        total[engine]++;
        use[engine * tenants + tenant]++;
        inHand[engine]++;
    }

    /** The engine's word that it has a session, or its end, which says the same. */
    public void arrived(int engine, long atIncarnation) {
        if (incarnation[engine] == atIncarnation && inHand[engine] > 0) {
            inHand[engine]--;
        }
    }

    /**
     * A session is known to have ended at that incarnation, or never to have begun; a broken
     * connection alone does not tell that.
     */
    public void ended(int tenant, int engine, long atIncarnation) {
        if (incarnation[engine] == atIncarnation) {
            total[engine]--;
            use[engine * tenants + tenant]--;
        }
    }

    /**
     * The incarnation of the engine that new sessions go to, as its connection tells: what was
     * known here before has ended.
     */
    public void connected(int engine, long at) {
        connected(engine, at, true);
    }

    /**
     * @param latest whether the incarnation known until now was the latest that an earlier process
     *     of this name can have met
     */
    void connected(int engine, long at, boolean latest) {
        if (at > incarnation[engine]) {
            boolean replaced = incarnation[engine] != 0;
            incarnation[engine] = at;
            Arrays.fill(use, engine * tenants, (engine + 1) * tenants, 0);
            Arrays.fill(limit, engine * tenants, (engine + 1) * tenants, 0);
            total[engine] = 0;
            inHand[engine] = 0;
            sum[engine] = 0;
            if (replaced) {
                left[engine] =
                        latest
                                ? 0
                                : BudgetCommand
                                        .UNKNOWN; // what earlier starts had there ended with the
                // older incarnation
            }
            refresh(engine);
        }
    }

    /**
     * The engine itself says how many sessions earlier starts of this process have at most, with
     * nothing of theirs on its way: floors without a quorum.
     */
    public void leftRunning(int engine, long at, int sessions) {
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
    public GrantedSessions anew() {
        GrantedSessions next = new GrantedSessions(settings, process, out);
        for (int engine = 0; engine < names.size(); engine++) {
            next.engine(names.get(engine), pools.get(engine));
            next.connected(engine, incarnation[engine]);
            next.inHand[engine] = inHand[engine]; // on its way whatever it counts as
            next.leftBy(this, engine);
        }
        return next;
    }

    /** Fewer of this process's own earlier sessions run at the engine. */
    public void leftBy(GrantedSessions before, int engine) {
        if (before.incarnation[engine] == incarnation[engine]) {
            leftRunning(
                    engine,
                    incarnation[engine],
                    Math.min(BudgetCommand.UNKNOWN, before.total[engine] + before.left[engine]));
        }
    }

    /**
     * Whether what earlier starts have left running at the engine, or may have for all that is
     * known, takes of its floor.
     */
    public boolean isFloorNarrowed(int engine) {
        return left[engine] > 0 && floor[engine] > 0 && incarnation[engine] != 0;
    }

    /** The report to send now; its answer counts from this moment, on whichever try it is given. */
    public BudgetCommand.Renew report(long now, DemandEstimator demand) {
        if (live && now >= ends) {
            lapse();
        }
        asked.put(++number, now);
        calledBack = false;
        if (asked.size() > 64) {
            asked.pollFirstEntry();
        }
        if (!live && !out.contains(Safeguard.NO_ANSWER_BEFORE_LAPSE)) {
            oldest = number; // this report says that nothing is granted: no earlier answer may make
            // that untrue
        }
        List<BudgetCommand.Use> uses = new ArrayList<>();
        List<BudgetCommand.Want> wants = new ArrayList<>();
        for (int engine = 0; engine < names.size(); engine++) {
            if (incarnation[engine] != 0) {
                uses.add(
                        new BudgetCommand.Use(
                                names.get(engine),
                                incarnation[engine],
                                total[engine],
                                left[engine]));
            }
            for (int tenant = 0; tenant < tenants; tenant++) {
                int wanted = demand.estimate(tenant, engine);
                if (wanted > 0) {
                    wants.add(
                            new BudgetCommand.Want(
                                    names.get(engine),
                                    settings.tenants().get(tenant).name(),
                                    wanted));
                }
            }
        }
        return new BudgetCommand.Renew(number, live ? version : 0, uses, wants);
    }

    /** The answer to a report; one that is late, or comes after a newer one, changes nothing. */
    public void granted(BudgetCommand.Grants grants, long now) {
        Long from = asked.get(grants.number());
        if (live && now >= ends) {
            lapse();
        }
        if (from == null || grants.number() < oldest || grants.number() <= adopted) {
            return;
        }
        long until =
                (out.contains(Safeguard.TIME_FROM_ASKING) ? now : from) + settings.usableNanos();
        if (now >= until) {
            return;
        }
        adopted = grants.number();
        asked.headMap(adopted, true).clear();
        live = true;
        ends = until;
        version = grants.version();
        int[] before = sum;
        sum = new int[before.length];
        Arrays.fill(limit, 0);
        for (BudgetCommand.Use use : grants.left()) {
            Integer slot = slots.get(use.engine());
            if (slot != null) {
                connected(
                        slot,
                        use.incarnation(),
                        false); // the machine may have known it before this process began
                if (incarnation[slot] == use.incarnation()) {
                    left[slot] = Math.min(left[slot], use.left());
                }
            }
        }
        for (BudgetCommand.Share share : grants.shares()) {
            Integer slot = slots.get(share.engine());
            if (slot != null && incarnation[slot] == share.incarnation()) {
                limit[slot * tenants + settings.tenant(share.tenant())] = share.sessions();
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
    public boolean isCalledBack() {
        return calledBack;
    }

    /**
     * Refused, or known otherwise to be over: only floors from here on, and the next report says
     * so.
     */
    public void lapse() {
        live = false;
        oldest = out.contains(Safeguard.NO_ANSWER_BEFORE_LAPSE) ? oldest : number + 1;
        Arrays.fill(limit, 0);
        Arrays.fill(sum, 0);
        for (int engine = 0; engine < names.size(); engine++) {
            refresh(engine);
        }
    }

    private void refresh(int engine) {
        room[engine] = Math.max(floor[engine] - left[engine], sum[engine]);
    }

    /** Whether grants are in force here; if not, floors are all there is. */
    public boolean isLive() {
        return live;
    }

    /** The incarnation that new sessions at the engine go to; 0 if none is known. */
    public long incarnation(int engine) {
        return incarnation[engine];
    }

    /** Nothing of this process is in use anywhere. */
    public boolean isIdle() {
        return Arrays.stream(total).allMatch(sessions -> sessions == 0);
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
    public int total(int engine) {
        return total[engine];
    }

    public int room(int engine) {
        return room[engine];
    }

    /** Sessions granted to the tenant at the engine. */
    public int limit(int tenant, int engine) {
        return limit[engine * tenants + tenant];
    }
}
