// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.Bytes;
import calicostream.cluster.Command;
import calicostream.cluster.Effects;
import calicostream.cluster.Machine;
import calicostream.cluster.MemberSession;
import java.util.function.LongSupplier;

/** Adds one at each look while it may; what its session answered last is its figure. */
final class Count implements Layer, Machine {
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
    public Machine machine() {
        return this;
    }

    @Override
    public void joins(MemberSession of, LongSupplier clock) {
        session = of;
    }

    @Override
    public void tick() {
        if (adds && session.waiting() == 0) {
            session.run(
                    "count",
                    new byte[0],
                    outcome ->
                            answered =
                                    outcome.accepted()
                                            ? new Bytes.Reader("sum", outcome.answer()).i64()
                                            : answered);
        }
    }

    @Override
    public void news(long index, Effects.Event event) {
        heard++;
    }

    @Override
    public void stopping() {
        adds = false;
        stoppedAt = answered;
    }

    @Override
    public String figures() {
        return "{\"answered\":"
                + answered
                + ",\"heard\":"
                + heard
                + ",\"stopped_at\":"
                + stoppedAt
                + "}";
    }

    @Override
    public Effects apply(long index, Command command) {
        sum++;
        return Effects.answer(snapshot(), new Effects.Event("added", new byte[0]));
    }

    @Override
    public byte[] snapshot() {
        return new Bytes.Writer().i64(sum).done();
    }

    @Override
    public void restore(byte[] snapshot) {
        sum = new Bytes.Reader("sum", snapshot).i64();
    }
}
