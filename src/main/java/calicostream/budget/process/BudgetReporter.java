// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetSettings;
import calicostream.budget.DemandEstimator;
import calicostream.budget.QueuedDemand;
import calicostream.budget.SessionLedger;

/**
 * Observes the tenants' demand, and publishes this process's reports and metrics several times per
 * lease time. Must be used on the front end's loop.
 */
final class BudgetReporter {
    private static final int REPORTS_PER_LEASE = 5;
    private static final long MIN_REPORT_INTERVAL_MICROS = 10_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private final BudgetSettings settings;
    private final SessionLedger ledger;
    private final BudgetedEngines engines;
    private final TenantAdmission admission;
    private final BudgetMailbox mailbox;
    private final DemandEstimator demand;
    private final long intervalMicros;
    private long nextReportAtMicros;

    BudgetReporter(
            BudgetSettings settings,
            SessionLedger ledger,
            BudgetedEngines engines,
            TenantAdmission admission,
            BudgetMailbox mailbox) {
        this.settings = settings;
        this.ledger = ledger;
        this.engines = engines;
        this.admission = admission;
        this.mailbox = mailbox;
        demand = new DemandEstimator(settings.tenants().size(), settings.ttlNanos() / 2);
        intervalMicros =
                Math.max(
                        MIN_REPORT_INTERVAL_MICROS,
                        settings.ttlNanos() / NANOS_PER_MICRO / REPORTS_PER_LEASE);
    }

    long intervalMicros() {
        return intervalMicros;
    }

    /** Updates the demand estimates from the sessions in use and the pending requests. */
    void observeDemand(long nowNanos) {
        int[] caps = engines.capsBySlot();
        for (int tenant = 0; tenant < settings.tenants().size(); tenant++) {
            int[] pending = QueuedDemand.distribute(admission.pending(tenant), caps);
            for (int engine = 0; engine < caps.length; engine++) {
                int inUse = ledger.grantedSessions().sessions(tenant, engine);
                demand.observe(tenant, engine, inUse, pending[engine], nowNanos);
            }
        }
    }

    /** Makes the next report due at once. */
    void scheduleImmediateReport() {
        nextReportAtMicros = 0;
    }

    /**
     * Publishes a report and metrics if they are due.
     *
     * @param isIdle whether this process has no running session
     */
    void publishIfDue(long nowMicros, long nowNanos, boolean isIdle) {
        if (nowMicros < nextReportAtMicros) {
            return;
        }
        nextReportAtMicros = nowMicros + intervalMicros;
        if (ledger.hasJoined()) {
            mailbox.publishReport(ledger.grantedSessions().nextReport(nowNanos, demand));
        }
        mailbox.publishMetrics(
                BudgetMetrics.process(settings, ledger, engines.engineNames(), admission), isIdle);
    }
}
