// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetException;
import calicostream.budget.SessionLedger;
import calicostream.budget.TenantQueues;
import calicostream.budget.TenantRules;
import calicostream.cluster.config.BudgetConfig;
import calicostream.core.Gateway;
import calicostream.core.Request;
import calicostream.core.ResponseHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Admits requests to the router by tenant. The router gets no more of a tenant's requests than the
 * tenant has capacity for, so that they cannot crowd out another tenant's. The others are queued
 * until there is capacity, or rejected with a retry-after time. Must be used on the front end's
 * loop.
 */
final class TenantAdmission {
    /** The single slot of the queues: requests are queued for all engines together. */
    private static final int ALL_ENGINES = 0;

    private final BudgetConfig config;
    private final SessionLedger ledger;
    private final BudgetedEngines engines;
    private final LongSupplier nowNanos;
    private final TenantQueues queues;

    /** By tenant: requests that were admitted to the router and have not been sent yet. */
    private final List<Set<Request>> admitted = new ArrayList<>();

    private final Map<Long, Request> queued = new HashMap<>();
    private Gateway gateway;
    private long nextRequestNumber = 1;
    private long rejected;

    TenantAdmission(
            BudgetConfig config,
            SessionLedger ledger,
            BudgetedEngines engines,
            LongSupplier nowNanos) {
        this.config = config;
        this.ledger = ledger;
        this.engines = engines;
        this.nowNanos = nowNanos;
        queues = new TenantQueues(config.settings(), config.maxQueuedPerTenant(), 1);
        for (int tenant = 0; tenant < tenantCount(); tenant++) {
            admitted.add(new HashSet<>());
        }
    }

    private int tenantCount() {
        return config.settings().tenants().size();
    }

    /** Sets where queued requests are admitted or rejected. Called once, before anything else. */
    void attach(Gateway newGateway) {
        gateway = newGateway;
    }

    /** Whether the request is admitted now; if not, it has been queued or rejected. */
    boolean admit(Request request) {
        request.assignTenant(config.tenants().tenantOf(attributes(request)));
        int tenant = request.tenant();
        if (queues.queued(tenant, ALL_ENGINES) == 0 && hasHeadroom(tenant)) {
            admitted.get(tenant).add(request);
            return true;
        }
        try {
            long requestNumber = nextRequestNumber++;
            queues.offer(
                    tenant,
                    ALL_ENGINES,
                    requestNumber,
                    nowNanos.getAsLong(),
                    config.maxQueueDelay().toNanos());
            queued.put(requestNumber, request);
        } catch (BudgetException.NoCapacity noCapacity) {
            reject(request, noCapacity);
        }
        return false;
    }

    private static TenantRules.RequestAttributes attributes(Request request) {
        ResponseHandler handler = request.responseHandler();
        return new TenantRules.RequestAttributes(
                null,
                handler.login(request.tag()),
                handler.catalog(request.tag()),
                handler.localAddress(request.tag()),
                handler.clientAddress(request.tag()));
    }

    private boolean hasHeadroom(int tenant) {
        Set<Request> requests = admitted.get(tenant);
        int headroom =
                engines.hasUnbudgetedEngines()
                        ? Integer.MAX_VALUE
                        : ledger.grantedSessions().headroom(tenant, nowNanos.getAsLong());
        if (requests.size() >= headroom) {
            requests.removeIf(Request::isAnswered);
        }
        return requests.size() < headroom;
    }

    /** Records that an attempt of the request is sent; from now on its session counts instead. */
    void requestSent(Request request) {
        admitted.get(request.tenant()).remove(request);
    }

    /** Records the end of a session of the tenant, which frees capacity. */
    void sessionEnded(int tenant) {
        queues.sessionEnded(tenant, nowNanos.getAsLong());
    }

    boolean hasQueued() {
        return !queued.isEmpty();
    }

    /** Admits queued requests as far as there is capacity. */
    void admitQueued() {
        for (long requestNumber = pollQueued(); requestNumber >= 0; requestNumber = pollQueued()) {
            Request request = queued.remove(requestNumber);
            if (!request.isAnswered()) {
                admitted.get(request.tenant()).add(request);
                gateway.admit(request);
            }
        }
    }

    private long pollQueued() {
        return queues.poll(
                ALL_ENGINES,
                this::hasHeadroom,
                tenant -> ledger.grantedSessions().sessions(tenant));
    }

    /** Rejects the requests that have waited for the maximum queue delay. */
    void rejectTimedOut() {
        for (int tenant = 0; tenant < tenantCount(); tenant++) {
            for (long requestNumber : queues.removeTimedOut(tenant, nowNanos.getAsLong())) {
                Request request = queued.remove(requestNumber);
                reject(request, queues.rejection(tenant, nowNanos.getAsLong()));
            }
        }
    }

    private void reject(Request request, BudgetException.NoCapacity noCapacity) {
        rejected++;
        gateway.reject(request, TimeUnit.NANOSECONDS.toMicros(noCapacity.retryAfterNanos()));
    }

    /** Requests of the tenant that have not been sent, queued here or at the router. */
    int pending(int tenant) {
        admitted.get(tenant).removeIf(Request::isAnswered);
        return queued(tenant) + admitted.get(tenant).size();
    }

    /** Requests of the tenant that are queued here. */
    int queued(int tenant) {
        return queues.queued(tenant, ALL_ENGINES);
    }

    /** The number of requests rejected since the start. */
    long rejected() {
        return rejected;
    }
}
