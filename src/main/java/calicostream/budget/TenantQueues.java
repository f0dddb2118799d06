// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;

/**
 * Requests that wait for room, by tenant. Owned by one thread; nanoseconds of the process's clock.
 * Who waits longer than its patience is refused, and who would have to is refused at once, each
 * with a time to return that rests on the rate at which the tenant's sessions end here.
 */
public final class TenantQueues {
    private record Waiting(long request, int engine, long until) {}

    private final BudgetSettings settings;
    private final int most;
    private final List<ArrayDeque<Waiting>> queues = new ArrayList<>();
    private final long[] lastEnd;
    private final long[] gap;
    private final int[][] queued;
    private int lastTenant;

    /**
     * @param most requests that wait of one tenant
     * @param engines the most engine slots
     */
    public TenantQueues(BudgetSettings settings, int most, int engines) {
        this.settings = settings;
        this.most = most;
        int tenants = settings.tenants().size();
        for (int i = 0; i < tenants; i++) {
            queues.add(new ArrayDeque<>());
        }
        lastEnd = new long[tenants];
        gap = new long[tenants];
        queued = new int[tenants][engines];
    }

    /** A session of the tenant has ended: a place, in time. */
    public void sessionEnded(int tenant, long now) {
        if (lastEnd[tenant] != 0) {
            long since = now - lastEnd[tenant];
            gap[tenant] = gap[tenant] == 0 ? since : gap[tenant] + (since - gap[tenant]) / 8;
        }
        lastEnd[tenant] = now;
    }

    /**
     * The request waits for room at that engine, until its patience is over.
     *
     * @throws BudgetException.NoRoom if it would wait longer, or too many do; it does not wait then
     */
    public void offer(int tenant, int engine, long request, long now, long patienceNanos) {
        int ahead = queues.get(tenant).size();
        long wait = expected(tenant, ahead + 1, now);
        if (ahead >= most || gap[tenant] != 0 && wait > patienceNanos) {
            throw noRoom(tenant, ahead, Math.max(wait - patienceNanos, pause(tenant, now)));
        }
        queues.get(tenant).add(new Waiting(request, engine, now + patienceNanos));
        queued[tenant][engine]++;
    }

    /**
     * Of the tenants that may use the engine now and wait for it, the one with least in use for its
     * weight: its longest waiting request, or -1.
     */
    public long poll(int engine, long now, GrantedSessions holdings) {
        return poll(
                engine, t -> holdings.mayStart(t, engine, now), t -> holdings.sessions(t, engine));
    }

    /**
     * The same where the slot stands for several engines together: who may be admitted there, and
     * with how many sessions.
     */
    public long poll(int engine, IntPredicate may, IntUnaryOperator sessions) {
        int best = -1;
        for (int t = 0; t < queued.length; t++) {
            if (queued[t][engine] > 0
                    && may.test(t)
                    && (best < 0
                            || (long) sessions.applyAsInt(t) * weight(best)
                                    < (long) sessions.applyAsInt(best) * weight(t))) {
                best = t;
            }
        }
        if (best < 0) {
            return -1;
        }
        lastTenant = best;
        for (Iterator<Waiting> each = queues.get(best).iterator(); each.hasNext(); ) {
            Waiting first = each.next();
            if (first.engine == engine) {
                each.remove();
                queued[best][engine]--;
                return first.request;
            }
        }
        return -1;
    }

    /** Whose request {@link #next} gave last. */
    public int lastTenant() {
        return lastTenant;
    }

    private int weight(int tenant) {
        return settings.tenants().get(tenant).weight();
    }

    /** Whoever's patience is over, of one tenant. */
    public List<Long> removeTimedOut(int tenant, long now) {
        List<Long> over = new ArrayList<>();
        for (Iterator<Waiting> each = queues.get(tenant).iterator(); each.hasNext(); ) {
            Waiting waits = each.next();
            if (waits.until <= now) {
                each.remove();
                queued[tenant][waits.engine]--;
                over.add(waits.request);
            }
        }
        return over;
    }

    /** What to tell a request whose patience is over. */
    public BudgetException.NoRoom rejection(int tenant, long now) {
        int ahead = queues.get(tenant).size();
        return noRoom(
                tenant, ahead, Math.max(expected(tenant, ahead + 1, now), pause(tenant, now)));
    }

    public int queued(int tenant, int engine) {
        return queued[tenant][engine];
    }

    /**
     * Until so many places have come free; where none has yet, the time in which grants are divided
     * anew for sure.
     */
    private long expected(int tenant, int places, long now) {
        return gap[tenant] == 0
                ? settings.ttlNanos()
                : places
                        * Math.max(
                                gap[tenant],
                                Math.min(now - lastEnd[tenant], settings.ttlNanos()) / 4);
    }

    private long pause(int tenant, long now) {
        return expected(tenant, 1, now);
    }

    private BudgetException.NoRoom noRoom(int tenant, int ahead, long after) {
        return new BudgetException.NoRoom(settings.tenants().get(tenant).name(), ahead, after);
    }
}
