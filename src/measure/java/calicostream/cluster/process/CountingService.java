// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import calicostream.cluster.MemberSession;
import calicostream.cluster.StateMachine;
import java.util.function.LongSupplier;

/** Adds one at each look while it may; what its session answered last is its figure. */
final class CountingService implements ReplicatedService, StateMachine {
    volatile boolean adds;
    private MemberSession session;
    private long sum;
    private long answered;
    private long heard;
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
    public void onStart(MemberSession of, LongSupplier clock) {
        session = of;
    }

    @Override
    public void onTick() {
        if (adds && session.pendingCommands() == 0) {
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
        heard++;
    }

    @Override
    public void onStopping() {
        adds = false;
        stoppedAt = answered;
    }

    @Override
    public String metricsJson() {
        return "{\"answered\":"
                + answered
                + ",\"heard\":"
                + heard
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
