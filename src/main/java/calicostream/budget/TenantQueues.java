// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;

/**
 * Queues of requests that wait for capacity, one for each tenant. Owned by one thread; nanoseconds
 * of the process's clock.
 *
 * <p>A request that waits longer than its patience is rejected, and one that would have to is
 * rejected at once, each with a retry-after time from the rate at which the tenant's sessions end
 * here.
 */
public final class TenantQueues {
    /** Returned where there is no request. */
    private static final long NO_REQUEST = -1;

    private record QueuedRequest(long request, int engine, long deadline) {}

    private final BudgetSettings settings;
    private final int maxQueued;
    private final List<TenantQueue> queues = new ArrayList<>();
    private int lastTenant;

    /**
     * Empty queues.
     *
     * @param maxQueued requests that may be queued for one tenant
     * @param engines the number of engine slots
     */
    public TenantQueues(BudgetSettings settings, int maxQueued, int engines) {
        this.settings = settings;
        this.maxQueued = maxQueued;
        for (BudgetSettings.Tenant tenant : settings.tenants()) {
            queues.add(new TenantQueue(tenant, engines));
        }
    }

    /** One tenant's queue, and the rate at which its sessions end. */
    private static final class TenantQueue {
        /** Weight of the newest interval in the moving average is one part in this. */
        private static final int AVERAGE_DIVISOR = 8;

        private final BudgetSettings.Tenant tenant;
        private final ArrayDeque<QueuedRequest> requests = new ArrayDeque<>();
        private final int[] queuedByEngine;
        private long lastEndAt;

        /** Moving average of the time between two ends; 0 if there were not two. */
        private long meanInterval;

        private TenantQueue(BudgetSettings.Tenant tenant, int engines) {
            this.tenant = tenant;
            queuedByEngine = new int[engines];
        }

        private void sessionEnded(long now) {
            if (lastEndAt != 0) {
                long interval = now - lastEndAt;
                meanInterval =
                        meanInterval == 0
                                ? interval
                                : meanInterval + (interval - meanInterval) / AVERAGE_DIVISOR;
            }
            lastEndAt = now;
        }

        private void add(QueuedRequest request) {
            requests.add(request);
            queuedByEngine[request.engine()]++;
        }

        private long pollFor(int engine) {
            for (Iterator<QueuedRequest> each = requests.iterator(); each.hasNext(); ) {
                QueuedRequest first = each.next();
                if (first.engine() == engine) {
                    each.remove();
                    queuedByEngine[engine]--;
                    return first.request();
                }
            }
            return NO_REQUEST;
        }

        private List<Long> removeTimedOut(long now) {
            List<Long> timedOut = new ArrayList<>();
            for (Iterator<QueuedRequest> each = requests.iterator(); each.hasNext(); ) {
                QueuedRequest queued = each.next();
                if (queued.deadline() <= now) {
                    each.remove();
                    queuedByEngine[queued.engine()]--;
                    timedOut.add(queued.request());
                }
            }
            return timedOut;
        }

        /**
         * Expected time until so many sessions have ended. Where that rate is not known it is the
         * lease time, in which grants are allocated anew for sure.
         */
        private long expectedWait(int sessions, long now, long leaseNanos) {
            if (meanInterval == 0) {
                return leaseNanos;
            }
            long sinceLastEnd = Math.min(now - lastEndAt, leaseNanos);
            return sessions * Math.max(meanInterval, sinceLastEnd / 4);
        }
    }

    /** A session of the tenant has ended, which frees capacity for another. */
    public void sessionEnded(int tenant, long now) {
        queues.get(tenant).sessionEnded(now);
    }

    /**
     * Queues a request for capacity at that engine, until its patience is over.
     *
     * @throws BudgetException.NoCapacity if it would wait longer, or too many are queued; it is not
     *     queued then
     */
    public void offer(int tenant, int engine, long request, long now, long patienceNanos) {
        TenantQueue queue = queues.get(tenant);
        int ahead = queue.requests.size();
        long wait = expectedWait(queue, ahead + 1, now);
        if (ahead >= maxQueued || queue.meanInterval != 0 && wait > patienceNanos) {
            long retryAfter = Math.max(wait - patienceNanos, expectedWait(queue, 1, now));
            throw new BudgetException.NoCapacity(queue.tenant.name(), ahead, retryAfter);
        }
        queue.add(new QueuedRequest(request, engine, now + patienceNanos));
    }

    /**
     * Polls the longest queued request of the tenant that uses least for its weight, among those
     * that have a request for the engine and may start a session there.
     *
     * @return the request, or -1
     */
    public long poll(int engine, long now, GrantedSessions grantedSessions) {
        return poll(
                engine,
                tenant -> grantedSessions.mayStart(tenant, engine, now),
                tenant -> grantedSessions.sessions(tenant, engine));
    }

    /**
     * The same where the slot stands for several engines together.
     *
     * @param mayStart whether the tenant may start a session there
     * @param sessions how many the tenant uses there
     */
    public long poll(int engine, IntPredicate mayStart, IntUnaryOperator sessions) {
        int best = -1;
        for (int tenant = 0; tenant < queues.size(); tenant++) {
            if (queued(tenant, engine) > 0
                    && mayStart.test(tenant)
                    && (best < 0 || usesLessForItsWeight(tenant, best, sessions))) {
                best = tenant;
            }
        }
        if (best < 0) {
            return NO_REQUEST;
        }
        lastTenant = best;
        return queues.get(best).pollFor(engine);
    }

    private boolean usesLessForItsWeight(int tenant, int other, IntUnaryOperator sessions) {
        return (long) sessions.applyAsInt(tenant) * queues.get(other).tenant.weight()
                < (long) sessions.applyAsInt(other) * queues.get(tenant).tenant.weight();
    }

    /** The tenant whose request {@link #poll} returned last. */
    public int lastTenant() {
        return lastTenant;
    }

    /** Removes the requests of a tenant whose patience is over, and returns them. */
    public List<Long> removeTimedOut(int tenant, long now) {
        return queues.get(tenant).removeTimedOut(now);
    }

    /** The error for a request of the tenant whose patience is over. */
    public BudgetException.NoCapacity rejection(int tenant, long now) {
        TenantQueue queue = queues.get(tenant);
        int ahead = queue.requests.size();
        long retryAfter =
                Math.max(expectedWait(queue, ahead + 1, now), expectedWait(queue, 1, now));
        return new BudgetException.NoCapacity(queue.tenant.name(), ahead, retryAfter);
    }

    /** Requests of the tenant that are queued for the engine. */
    public int queued(int tenant, int engine) {
        return queues.get(tenant).queuedByEngine[engine];
    }

    private long expectedWait(TenantQueue queue, int sessions, long now) {
        return queue.expectedWait(sessions, now, settings.ttlNanos());
    }
}
