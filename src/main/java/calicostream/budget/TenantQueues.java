// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;

/**
 * Queues of requests that wait for capacity, one per tenant. Owned by one thread; times are in
 * nanoseconds of the process's clock.
 *
 * <p>A request is rejected when it has waited for its maximum wait, or at once if its expected wait
 * is longer. The retry-after time is estimated from the rate at which the tenant's sessions end in
 * this process.
 */
public final class TenantQueues {
    /** Returned if no request can be dispatched. */
    private static final long NO_REQUEST = -1;

    private record QueuedRequest(long request, int engine, long deadline) {}

    private final BudgetSettings settings;
    private final int maxQueued;
    private final List<TenantQueue> queues = new ArrayList<>();
    private int lastPolledTenant;

    /**
     * Creates empty queues.
     *
     * @param maxQueued limit on the queued requests of one tenant
     * @param engines number of engine slots
     */
    public TenantQueues(BudgetSettings settings, int maxQueued, int engines) {
        this.settings = settings;
        this.maxQueued = maxQueued;
        for (BudgetSettings.Tenant tenant : settings.tenants()) {
            queues.add(new TenantQueue(tenant, engines));
        }
    }

    /** One tenant's queue, with the average rate at which its sessions end. */
    private static final class TenantQueue {
        /** The newest interval has weight 1/8 in the moving average. */
        private static final int AVERAGE_DIVISOR = 8;

        private final BudgetSettings.Tenant tenant;
        private final ArrayDeque<QueuedRequest> requests = new ArrayDeque<>();
        private final int[] queuedByEngine;
        private long lastEndAt;

        /** Moving average of the time between two session ends; 0 before the second end. */
        private long meanEndInterval;

        private TenantQueue(BudgetSettings.Tenant tenant, int engines) {
            this.tenant = tenant;
            queuedByEngine = new int[engines];
        }

        private void sessionEnded(long now) {
            if (lastEndAt != 0) {
                long interval = now - lastEndAt;
                meanEndInterval =
                        meanEndInterval == 0
                                ? interval
                                : meanEndInterval + (interval - meanEndInterval) / AVERAGE_DIVISOR;
            }
            lastEndAt = now;
        }

        private void add(QueuedRequest request) {
            requests.add(request);
            queuedByEngine[request.engine()]++;
        }

        private long pollFor(int engine) {
            for (Iterator<QueuedRequest> iterator = requests.iterator(); iterator.hasNext(); ) {
                QueuedRequest queued = iterator.next();
                if (queued.engine() == engine) {
                    iterator.remove();
                    queuedByEngine[engine]--;
                    return queued.request();
                }
            }
            return NO_REQUEST;
        }

        private List<Long> removeTimedOut(long now) {
            List<Long> timedOut = new ArrayList<>();
            for (Iterator<QueuedRequest> iterator = requests.iterator(); iterator.hasNext(); ) {
                QueuedRequest queued = iterator.next();
                if (queued.deadline() <= now) {
                    iterator.remove();
                    queuedByEngine[queued.engine()]--;
                    timedOut.add(queued.request());
                }
            }
            return timedOut;
        }

        /**
         * Expected time until the given number of sessions have ended. If the rate is unknown, it
         * is the lease time, within which grants are always allocated again.
         */
        private long expectedWait(int sessions, long now, long leaseNanos) {
            if (meanEndInterval == 0) {
                return leaseNanos;
            }
            long sinceLastEnd = Math.min(now - lastEndAt, leaseNanos);
            return sessions * Math.max(meanEndInterval, sinceLastEnd / 4);
        }
    }

    /** Records the end of a session of the tenant, which frees capacity. */
    public void sessionEnded(int tenant, long now) {
        queues.get(tenant).sessionEnded(now);
    }

    /**
     * Queues a request for capacity at the engine.
     *
     * @param maxWaitNanos how long the request may be queued
     * @throws BudgetException.NoCapacity if the expected wait is longer or the tenant's queue is
     *     full; the request is then not queued
     */
    public void offer(int tenant, int engine, long request, long now, long maxWaitNanos) {
        TenantQueue queue = queues.get(tenant);
        int queuedAhead = queue.requests.size();
        long expectedWait = expectedWait(queue, queuedAhead + 1, now);
        if (queuedAhead >= maxQueued || queue.meanEndInterval != 0 && expectedWait > maxWaitNanos) {
            long retryAfter = Math.max(expectedWait - maxWaitNanos, expectedWait(queue, 1, now));
            throw new BudgetException.NoCapacity(queue.tenant.name(), queuedAhead, retryAfter);
        }
        queue.add(new QueuedRequest(request, engine, now + maxWaitNanos));
    }

    /**
     * Removes and returns the oldest request for the engine. Among the tenants that have one and
     * may start a session there, takes it from the tenant with the fewest sessions relative to its
     * weight.
     *
     * @return the request, or -1 if there is none
     */
    public long poll(int engine, long now, GrantedSessions grantedSessions) {
        return poll(
                engine,
                tenant -> grantedSessions.mayStart(tenant, engine, now),
                tenant -> grantedSessions.sessions(tenant, engine));
    }

    /**
     * Like {@link #poll(int, long, GrantedSessions)}, for a slot that stands for several engines.
     *
     * @param mayStart whether a tenant may start a session at the slot
     * @param sessions how many sessions a tenant has in use at the slot
     */
    public long poll(int engine, IntPredicate mayStart, IntUnaryOperator sessions) {
        int best = -1;
        for (int tenant = 0; tenant < queues.size(); tenant++) {
            if (queued(tenant, engine) > 0
                    && mayStart.test(tenant)
                    && (best < 0 || hasFewerSessionsForWeight(tenant, best, sessions))) {
                best = tenant;
            }
        }
        if (best < 0) {
            return NO_REQUEST;
        }
        lastPolledTenant = best;
        return queues.get(best).pollFor(engine);
    }

    private boolean hasFewerSessionsForWeight(int tenant, int other, IntUnaryOperator sessions) {
        return (long) sessions.applyAsInt(tenant) * queues.get(other).tenant.weight()
                < (long) sessions.applyAsInt(other) * queues.get(tenant).tenant.weight();
    }

    /** The tenant of the request that {@link #poll} returned last. */
    public int lastPolledTenant() {
        return lastPolledTenant;
    }

    /** Removes and returns the tenant's requests that have waited for their maximum wait. */
    public List<Long> removeTimedOut(int tenant, long now) {
        return queues.get(tenant).removeTimedOut(now);
    }

    /** The error for a request of the tenant that was removed as timed out. */
    public BudgetException.NoCapacity rejection(int tenant, long now) {
        TenantQueue queue = queues.get(tenant);
        int queuedAhead = queue.requests.size();
        long retryAfter =
                Math.max(expectedWait(queue, queuedAhead + 1, now), expectedWait(queue, 1, now));
        return new BudgetException.NoCapacity(queue.tenant.name(), queuedAhead, retryAfter);
    }

    /** Requests of the tenant that are queued for the engine. */
    public int queued(int tenant, int engine) {
        return queues.get(tenant).queuedByEngine[engine];
    }

    private long expectedWait(TenantQueue queue, int sessions, long now) {
        return queue.expectedWait(sessions, now, settings.ttlNanos());
    }
}
