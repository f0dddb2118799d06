// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import calicostream.routing.AffinityRouter;
import calicostream.routing.QueryRouter;
import calicostream.routing.RouterActions;
import calicostream.routing.SettingsParser;
import java.util.List;

/** One gateway's decision instance, and its actions written to the wire. */
final class RouterInstance implements RouterActions {
    final QueryRouter router;
    final List<String> columns;
    final boolean reportsCost;
    private final long number;
    private final SimulatorFrame.ActionReply reply;
    private boolean failed;

    RouterInstance(long number, SettingsParser parser, SimulatorFrame.ActionReply reply) {
        this.number = number;
        this.reply = reply;
        columns = parser.loadReportColumns();
        reportsCost = parser.reportsWork();
        router = new AffinityRouter(parser.settings(), this);
    }

    /** Runs one event; an exception in the decisions becomes the wire's fault action. */
    void guard(Runnable event) {
        if (failed) {
            return;
        }
        try {
            event.run();
        } catch (RuntimeException e) {
            failed = true;
            StackTraceElement[] trace = e.getStackTrace();
            reply.record(RecordCodes.CRASH, number)
                    .text(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    @Override
    public void startAttempt(long query, long engine, long giveUpAt) {
        reply.record(RecordCodes.DELIVER, number).u32(query).engine(engine).u64(giveUpAt);
    }

    @Override
    public void cancelAttempt(long query, int attempt) {
        reply.record(RecordCodes.UNDO_SEND, number).u32(query).u16(attempt);
    }

    @Override
    public void reject(long query, long retryAfterUs) {
        reply.record(RecordCodes.DECLINE, number).u32(query).u32(retryAfterUs);
    }

    @Override
    public void fail(long query) {
        reply.record(RecordCodes.FINISH_ERROR, number).u32(query);
    }

    @Override
    public void assignResources(long query, double memoryMb, int priority) {
        reply.record(RecordCodes.ALLOT, number).u32(query).f32(memoryMb).u8(priority);
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        reply.record(RecordCodes.SCHEDULE, number).u32(delayUs).u64(token);
    }

    @Override
    public void probeLoad(long engine) {
        reply.record(RecordCodes.POLL, number).engine(engine);
    }

    @Override
    public void watchEndpoints() {
        reply.record(RecordCodes.OBSERVE, number).u8(1);
    }

    @Override
    public void log(String text) {
        reply.record(RecordCodes.TRACE, number).text(text);
    }
}
