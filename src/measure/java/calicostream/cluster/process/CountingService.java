// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import calicostream.cluster.MemberSession;
import calicostream.cluster.StateMachine;
import java.util.function.LongSupplier;

/** A service that adds one at each tick while enabled; its metrics are what it was answered. */
final class CountingService implements ReplicatedService, StateMachine {
    volatile boolean isAdding;
    private MemberSession session;
    private long sum;
    private long answered;
    private long events;
    private long stoppedAt = -1;

    @Override
    public String name() {
        return "count";
    }

    @Override
    public StateMachine stateMachine() {
        return this;
    }

    @Override
    public void onStart(MemberSession memberSession, LongSupplier clock) {
        session = memberSession;
    }

    @Override
    public void onTick() {
        if (isAdding && session.pendingCommands() == 0) {
            session.submit(
                    "count",
                    new byte[0],
                    outcome ->
                            answered =
                                    outcome.isAccepted()
                                            ? new BinaryCodec.Reader("sum", outcome.response())
                                                    .i64()
                                            : answered);
        }
    }

    @Override
    public void onEvent(long index, CommandEffects.Event event) {
        events++;
    }

    @Override
    public void onStopping() {
        isAdding = false;
        stoppedAt = answered;
    }

    @Override
    public String metricsJson() {
        return "{\"answered\":"
                + answered
                + ",\"heard\":"
                + events
                + ",\"stopped_at\":"
                + stoppedAt
                + "}";
    }

    @Override
    public CommandEffects apply(long index, Command command) {
        sum++;
        return CommandEffects.response(snapshot(), new CommandEffects.Event("added", new byte[0]));
    }

    @Override
    public byte[] snapshot() {
        return new BinaryCodec.Writer().i64(sum).toByteArray();
    }

    @Override
    public void restore(byte[] snapshot) {
        sum = new BinaryCodec.Reader("sum", snapshot).i64();
    }
}
