// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * Start-up settings of a deployment.
 *
 * @param gateways number of gateways that share the engines
 * @param index this gateway's number among them, from 0
 * @param zone index of this gateway's zone
 * @param costs what is paid for beside a query's own work
 * @param engineKinds kinds of engines by index
 * @param classes classes of queries by index
 * @param tenants limits of tenants by index
 * @param overQuotaWeight part of its worth left to a query of a tenant beyond its quota
 * @param attemptLimits what the deployment allows for a query
 * @param protectionRules rules that protect engines and keys
 * @param engineCapabilities what engines heed and report
 * @param loadReporting when engines report their load
 * @param watchEndpointsOnRequest whether the endpoint list comes only on request
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
    /** Returns the same settings for engines that report no progress. */
    public RouterSettings withoutProgressNotes() {
        EngineCapabilities silent =
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
                silent,
                loadReporting,
                watchEndpointsOnRequest,
                tickUs);
    }
}
