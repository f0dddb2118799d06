// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import calicostream.routing.AffinityRouter;
import calicostream.routing.LoadReport;
import calicostream.routing.QueryRouter;
import calicostream.routing.RouterActions;
import calicostream.routing.SettingsParser;
import java.util.List;

/** The router of one simulated gateway; writes the router's actions to the reply. */
final class RouterInstance implements RouterActions {
    private final QueryRouter router;
    private final List<String> loadReportColumns;
    private final boolean reportsCost;
    private final long number;
    private final ActionReply reply;
    private boolean failed;

    RouterInstance(long number, SettingsParser parser, ActionReply reply) {
        this.number = number;
        this.reply = reply;
        loadReportColumns = parser.loadReportColumns();
        reportsCost = parser.reportsWork();
        router = new AffinityRouter(parser.settings(), this);
    }

    /** Whether results report what the query has cost. */
    boolean reportsCost() {
        return reportsCost;
    }

    /**
     * Adds the value at an index of a load report; one that the settings do not name is ignored.
     */
    LoadReport withColumn(LoadReport report, int index, double value) {
        return index < loadReportColumns.size()
                ? report.withColumn(loadReportColumns.get(index), value)
                : report;
    }

    /** Passes an event to the router; an exception is reported, and ends the instance's service. */
    void apply(RouterEvent event) {
        if (failed) {
            return;
        }
        try {
            event.applyTo(router);
        } catch (RuntimeException e) {
            failed = true;
            StackTraceElement[] trace = e.getStackTrace();
            String location = trace.length > 0 ? " at " + trace[0] : "";
            reply.record(ActionCode.ROUTER_FAILED, number).text(e + location);
        }
    }

    @Override
    public void startAttempt(long query, long engine, long timeoutAt) {
        reply.record(ActionCode.START_ATTEMPT, number).u32(query).engine(engine).u64(timeoutAt);
    }

    @Override
    public void cancelAttempt(long query, int attempt) {
        reply.record(ActionCode.CANCEL_ATTEMPT, number).u32(query).u16(attempt);
    }

    @Override
    public void reject(long query, long retryAfterUs) {
        reply.record(ActionCode.REJECT, number).u32(query).u32(retryAfterUs);
    }

    @Override
    public void fail(long query) {
        reply.record(ActionCode.FAIL, number).u32(query);
    }

    @Override
    public void assignResources(long query, double memoryMb, int priority) {
        reply.record(ActionCode.ASSIGN_RESOURCES, number).u32(query).f32(memoryMb).u8(priority);
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        reply.record(ActionCode.SCHEDULE_TIMER, number).u32(delayUs).u64(token);
    }

    @Override
    public void probeLoad(long engine) {
        reply.record(ActionCode.PROBE_LOAD, number).engine(engine);
    }

    @Override
    public void watchEndpoints() {
        reply.record(ActionCode.WATCH_ENDPOINTS, number).u8(1);
    }

    @Override
    public void log(String text) {
        reply.record(ActionCode.LOG, number).text(text);
    }
}
