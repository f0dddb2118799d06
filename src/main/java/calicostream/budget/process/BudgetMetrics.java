// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetSettings;
import calicostream.budget.GrantView;
import calicostream.budget.GrantedSessions;
import calicostream.budget.SessionLedger;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.List;

/** Writes metrics as JSON; {@code docs/operate/budget.md} lists the names. Stateless. */
final class BudgetMetrics {
    private BudgetMetrics() {}

    /**
     * The sessions that this process may use and has in use.
     *
     * @param engineNames by slot
     */
    static String process(
            BudgetSettings settings,
            SessionLedger ledger,
            List<String> engineNames,
            TenantAdmission admission) {
        GrantedSessions sessions = ledger.grantedSessions();
        JsonObject engines = Json.object();
        for (int engine = 0; engine < engineNames.size(); engine++) {
            engines.add(
                    engineNames.get(engine),
                    Json.object()
                            .add("in_use", sessions.totalSessions(engine))
                            .add("room", Math.max(0, sessions.capacity(engine)))
                            .add("incarnation", sessions.incarnation(engine)));
        }
        JsonObject tenants = Json.object();
        for (int tenant = 0; tenant < settings.tenants().size(); tenant++) {
            tenants.add(
                    settings.tenants().get(tenant).name(),
                    Json.object()
                            .add("in_use", sessions.sessions(tenant))
                            .add("granted", totalGranted(sessions, tenant, engineNames.size()))
                            .add("waiting", admission.queued(tenant)));
        }
        return Json.object()
                .add("live", sessions.hasActiveGrants())
                .add("in_doubt", ledger.unconfirmedCount())
                .add("refused", admission.rejected())
                .add("engines", engines)
                .add("tenants", tenants)
                .toString();
    }

    private static int totalGranted(GrantedSessions sessions, int tenant, int engines) {
        int granted = 0;
        for (int engine = 0; engine < engines; engine++) {
            granted += sessions.granted(tenant, engine);
        }
        return granted;
    }

    /** Committed sessions and tenants' grants in the whole fleet, from the local copy. */
    static JsonObject fleet(BudgetSettings settings, GrantView view) {
        JsonObject engines = Json.object();
        for (GrantView.EngineTotals engine : view.engines()) {
            engines.add(
                    engine.name(),
                    Json.object()
                            .add("pool", engine.pool())
                            .add("cap", engine.cap())
                            .add("cap_wanted", engine.requestedCap())
                            .add("may_be_in_use", engine.committed())
                            .add("granted", engine.granted())
                            .add("incarnation", engine.incarnation()));
        }
        JsonObject tenants = Json.object();
        for (BudgetSettings.Tenant tenant : settings.tenants()) {
            GrantView.TenantTotals totals = view.tenantTotals(tenant.name());
            tenants.add(
                    tenant.name(),
                    Json.object()
                            .add("weight", tenant.weight())
                            .add("granted", totals.granted())
                            .add("wanted", totals.demand()));
        }
        return Json.object().add("engines", engines).add("tenants", tenants);
    }
}
