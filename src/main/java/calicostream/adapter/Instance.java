// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import calicostream.Logic;
import calicostream.QueryRouter;
import calicostream.SettingsParser;
import java.util.List;

/** One gateway's decision instance, and its actions written to the wire. */
final class Instance implements QueryRouter.Actions {
    final QueryRouter router;
    final List<String> columns;
    final boolean tellsCost;
    private final long number;
    private final Frame.Reply reply;
    private boolean failed;

    Instance(long number, SettingsParser parser, Frame.Reply reply) {
        this.number = number;
        this.reply = reply;
        columns = parser.columns();
        tellsCost = parser.tellsCost();
        router = new Logic(parser.settings(), this);
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
            reply.record(Codes.CRASH, number).text(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    @Override
    public void send(long query, long engine, long giveUpAt) {
        reply.record(Codes.DELIVER, number).u32(query).engine(engine).u64(giveUpAt);
    }

    @Override
    public void cancel(long query, int attempt) {
        reply.record(Codes.UNDO_SEND, number).u32(query).u16(attempt);
    }

    @Override
    public void refuse(long query, long retryAfterUs) {
        reply.record(Codes.DECLINE, number).u32(query).u32(retryAfterUs);
    }

    @Override
    public void fail(long query) {
        reply.record(Codes.FINISH_ERROR, number).u32(query);
    }

    @Override
    public void terms(long query, double memoryMb, int priority) {
        reply.record(Codes.ALLOT, number).u32(query).f32(memoryMb).u8(priority);
    }

    @Override
    public void timer(long delayUs, long token) {
        reply.record(Codes.SCHEDULE, number).u32(delayUs).u64(token);
    }

    @Override
    public void probe(long engine) {
        reply.record(Codes.POLL, number).engine(engine);
    }

    @Override
    public void subscribeRoster() {
        reply.record(Codes.OBSERVE, number).u8(1);
    }

    @Override
    public void log(String text) {
        reply.record(Codes.TRACE, number).text(text);
    }
}
