// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberSession;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.StateMachine;
import calicostream.cluster.raft.Voter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The services of one member. An exception of a service is logged and affects no other one. The
 * member's thread.
 */
final class ServiceGroup {
    private static final Logger LOG = LoggerFactory.getLogger(Member.class);

    private final Voter self;
    private final List<ReplicatedService> services;
    private final Map<String, ReplicatedService> servicesByName = new TreeMap<>();

    ServiceGroup(Voter self, List<ReplicatedService> services) {
        this.self = self;
        this.services = List.copyOf(services);
        services.forEach(service -> servicesByName.put(service.name(), service));
    }

    Map<String, StateMachine> stateMachines() {
        Map<String, StateMachine> stateMachines = new TreeMap<>();
        servicesByName.forEach((name, service) -> stateMachines.put(name, service.stateMachine()));
        return stateMachines;
    }

    Map<String, ExpiryMonitor> expiryMonitors() {
        Map<String, ExpiryMonitor> monitors = new TreeMap<>();
        servicesByName.forEach(
                (name, service) ->
                        service.expiryMonitor().ifPresent(monitor -> monitors.put(name, monitor)));
        return monitors;
    }

    void onStart(MemberSession session, LongSupplier clock) {
        callEach(service -> service.onStart(session, clock));
    }

    void onTick() {
        callEach(ReplicatedService::onTick);
    }

    /** Tells the service whose state machine changed; a change of any other is ignored. */
    void onEvent(ReplicatedState.StateChange change) {
        ReplicatedService service = servicesByName.get(change.machine());
        if (service != null) {
            call(service, each -> each.onEvent(change.index(), change.event()));
        }
    }

    void onStopping() {
        callEach(ReplicatedService::onStopping);
    }

    Map<String, String> metrics() {
        Map<String, String> metrics = new TreeMap<>();
        callEach(service -> metrics.put(service.name(), service.metricsJson()));
        return Map.copyOf(metrics);
    }

    private void callEach(Consumer<ReplicatedService> call) {
        services.forEach(service -> call(service, call));
    }

    private void call(ReplicatedService service, Consumer<ReplicatedService> call) {
        try {
            call.accept(service);
        } catch (RuntimeException e) {
            LOG.error("member {}: service {} failed", self, service.name(), e);
        }
    }
}
