// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * Startup settings of a deployment.
 *
 * @param gateways number of gateways that share the engines
 * @param index index of this gateway among them, from 0
 * @param zone index of this gateway's zone
 * @param costs costs of sending a query beside its own work
 * @param engineKinds kinds of engines by index
 * @param classes query classes by index
 * @param tenants limits of tenants by index
 * @param overQuotaWeight factor on the value of a query whose tenant exceeds its quota
 * @param attemptLimits limits on the handling of a query
 * @param protectionRules rules that protect engines and ordered keys
 * @param engineCapabilities optional features that engines support
 * @param loadReporting when engines send load reports
 * @param watchEndpointsOnRequest whether the endpoint list must be requested
 * @param tickUs resolution of the gateway's timers in microseconds
 */
public record RouterSettings(
        int gateways,
        int index,
        int zone,
        RoutingCosts costs,
        List<EngineKind> engineKinds,
        List<QueryClass> classes,
        List<TenantLimit> tenants,
        double overQuotaWeight,
        AttemptLimits attemptLimits,
        ProtectionRules protectionRules,
        EngineCapabilities engineCapabilities,
        LoadReporting loadReporting,
        boolean watchEndpointsOnRequest,
        long tickUs) {
    /** Returns a copy for engines that send no progress reports. */
    public RouterSettings withoutProgressReports() {
        EngineCapabilities capabilitiesWithoutProgress =
                new EngineCapabilities(
                        engineCapabilities.memoryGrants(),
                        engineCapabilities.priorities(),
                        engineCapabilities.maxMemoryGrant(),
                        0);
        return new RouterSettings(
                gateways,
                index,
                zone,
                costs,
                engineKinds,
                classes,
                tenants,
                overQuotaWeight,
                attemptLimits,
                protectionRules,
                capabilitiesWithoutProgress,
                loadReporting,
                watchEndpointsOnRequest,
                tickUs);
    }
}
