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
 * Admits requests to the router by tenant: no more of a tenant's requests are with the router than
 * could be sent, so that they can't crowd out another tenant's; the others are queued until there
 * is capacity, or rejected with a retry-after time. Front end's loop only.
 */
final class TenantAdmission {
    /** The queues' single slot: requests are queued for all engines together. */
    private static final int ALL_ENGINES = 0;

    private final BudgetConfig config;
    private final SessionLedger ledger;
    private final BudgetedEngines engines;
    private final LongSupplier nowNanos;
    private final TenantQueues queues;

    /** By tenant: requests that the router has and that were not sent yet. */
    private final List<Set<Request>> admitted = new ArrayList<>();

    private final Map<Long, Request> queued = new HashMap<>();
    private Gateway gateway;
    private long nextNumber = 1;
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
        for (int tenant = 0; tenant < tenants(); tenant++) {
            admitted.add(new HashSet<>());
        }
    }

    private int tenants() {
        return config.settings().tenants().size();
    }

    /** Called once, before anything else: where requests are admitted later, or rejected. */
    void attach(Gateway to) {
        gateway = to;
    }

    /** Whether the router gets the request now; if not, it is queued or rejected here. */
    boolean admit(Request request) {
        request.assignTenant(config.tenants().tenantOf(attributes(request)));
        int tenant = request.tenant();
        if (queues.queued(tenant, ALL_ENGINES) == 0 && hasHeadroom(tenant)) {
            admitted.get(tenant).add(request);
            return true;
        }
        try {
            long number = nextNumber++;
            queues.offer(
                    tenant,
                    ALL_ENGINES,
                    number,
                    nowNanos.getAsLong(),
                    config.maxQueueDelay().toNanos());
            queued.put(number, request);
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
                engines.hasUnbudgeted()
                        ? Integer.MAX_VALUE
                        : ledger.grantedSessions().headroom(tenant, nowNanos.getAsLong());
        if (requests.size() >= headroom) {
            requests.removeIf(Request::isAnswered);
        }
        return requests.size() < headroom;
    }

    /** An attempt of the request is sent to an engine: from here on its session counts instead. */
    void requestSent(Request request) {
        admitted.get(request.tenant()).remove(request);
    }

    /** A session of the tenant has ended, which frees capacity for another. */
    void sessionEnded(int tenant) {
        queues.sessionEnded(tenant, nowNanos.getAsLong());
    }

    boolean hasQueued() {
        return !queued.isEmpty();
    }

    /** Admits queued requests as far as there is capacity. */
    void admitQueued() {
        for (long number = pollQueued(); number >= 0; number = pollQueued()) {
            Request request = queued.remove(number);
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

    /** Rejects the requests whose patience is over. */
    void rejectTimedOut() {
        for (int tenant = 0; tenant < tenants(); tenant++) {
            for (long number : queues.removeTimedOut(tenant, nowNanos.getAsLong())) {
                Request request = queued.remove(number);
                reject(request, queues.rejection(tenant, nowNanos.getAsLong()));
            }
        }
    }

    private void reject(Request request, BudgetException.NoCapacity noCapacity) {
        rejected++;
        gateway.reject(request, TimeUnit.NANOSECONDS.toMicros(noCapacity.retryAfterNanos()));
    }

    /** Requests of the tenant that wait for an engine, here or at the router. */
    int pending(int tenant) {
        admitted.get(tenant).removeIf(Request::isAnswered);
        return queued(tenant) + admitted.get(tenant).size();
    }

    /** Requests of the tenant that are queued here. */
    int queued(int tenant) {
        return queues.queued(tenant, ALL_ENGINES);
    }

    /** How many requests were rejected since the start. */
    long rejected() {
        return rejected;
    }
}
