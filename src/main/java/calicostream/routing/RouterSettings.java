// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * Start-up settings of a deployment. {@code index} is this gateway's number among {@code gateways},
 * from 0; {@code zone} is where it stands.
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
    /** The same where engines send no news of what runs. */
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
