// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetSettings;
import calicostream.budget.GrantView;
import calicostream.budget.GrantedSessions;
import calicostream.budget.TenantQueues;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.List;

/** The figures under the names that {@code docs/operate/budget.md} has. Stateless. */
final class BudgetMetrics {
    private BudgetMetrics() {}

    /** What this process may use and uses. */
    static String of(
            BudgetSettings settings,
            GrantedSessions holdings,
            TenantQueues queues,
            List<String> names,
            int doubts,
            long refused) {
        JsonObject engines = Json.object();
        for (int slot = 0; slot < names.size(); slot++) {
            engines.add(
                    names.get(slot),
                    Json.object()
                            .add("in_use", holdings.totalSessions(slot))
                            .add("room", Math.max(0, holdings.capacity(slot)))
                            .add("incarnation", holdings.incarnation(slot)));
        }
        JsonObject tenants = Json.object();
        for (int t = 0; t < settings.tenants().size(); t++) {
            int granted = 0;
            for (int slot = 0; slot < names.size(); slot++) {
                granted += holdings.granted(t, slot);
            }
            tenants.add(
                    settings.tenants().get(t).name(),
                    Json.object()
                            .add("in_use", holdings.sessions(t))
                            .add("granted", granted)
                            .add("waiting", queues.queued(t, 0)));
        }
        return Json.object()
                .add("live", holdings.hasActiveGrants())
                .add("in_doubt", doubts)
                .add("refused", refused)
                .add("engines", engines)
                .add("tenants", tenants)
                .toString();
    }

    /**
     * What may be in use in the fleet by the copy at hand, against the caps, and how fairly it is
     * granted.
     */
    static JsonObject fleet(BudgetSettings settings, GrantView view) {
        JsonObject engines = Json.object();
        for (GrantView.EngineTotals each : view.engines()) {
            engines.add(
                    each.name(),
                    Json.object()
                            .add("pool", each.pool())
                            .add("cap", each.cap())
                            .add("cap_wanted", each.requestedCap())
                            .add("may_be_in_use", each.committed())
                            .add("granted", each.granted())
                            .add("incarnation", each.incarnation()));
        }
        JsonObject tenants = Json.object();
        for (int t = 0; t < settings.tenants().size(); t++) {
            String name = settings.tenants().get(t).name();
            GrantView.TenantTotals sum = view.tenantTotals(name);
            tenants.add(
                    name,
                    Json.object()
                            .add("weight", settings.tenants().get(t).weight())
                            .add("granted", sum.granted())
                            .add("wanted", sum.demand()));
        }
        return Json.object().add("engines", engines).add("tenants", tenants);
    }
}
