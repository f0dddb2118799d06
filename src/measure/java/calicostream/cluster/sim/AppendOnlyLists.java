// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import calicostream.cluster.StateMachine;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * A state machine of append-only lists, whose histories can be checked in linear time. Reports each
 * call to a listener.
 */
final class AppendOnlyLists implements StateMachine {
    static final int KEYS = 3;
    private final BiConsumer<Long, String> callListener;
    private final Runnable restoreListener;
    private final List<List<Long>> lists = new ArrayList<>();

    AppendOnlyLists(BiConsumer<Long, String> callListener, Runnable restoreListener) {
        this.callListener = callListener;
        this.restoreListener = restoreListener;
        for (int i = 0; i < KEYS; i++) {
            lists.add(new ArrayList<>());
        }
    }

    static byte[] encodeAppend(int key, long value) {
        return new BinaryCodec.Writer().i32(key).i64(value).toByteArray();
    }

    static byte[] encodeQuery(int key) {
        return new BinaryCodec.Writer().i32(key).toByteArray();
    }

    static List<Long> list(byte[] answer) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("list", answer);
        List<Long> list = new ArrayList<>();
        for (int left = in.count(8); left > 0; left--) {
            list.add(in.i64());
        }
        return list;
    }

    List<Long> list(int key) {
        return lists.get(key);
    }

    @Override
    public CommandEffects apply(long index, Command command) {
        callListener.accept(
                index,
                command.session()
                        + "/"
                        + command.sequence()
                        + "/"
                        + Arrays.hashCode(command.body()));
        BinaryCodec.Reader in = new BinaryCodec.Reader("append", command.body());
        List<Long> list = lists.get(in.i32());
        list.add(in.i64());
        return CommandEffects.response(new BinaryCodec.Writer().i32(list.size()).toByteArray());
    }

    @Override
    public CommandEffects sessionEnded(long index, long session) {
        callListener.accept(index, "ended " + session);
        return CommandEffects.NONE;
    }

    @Override
    public CommandEffects epochStarted(long index, long epoch) {
        callListener.accept(index, "epoch " + epoch);
        return CommandEffects.NONE;
    }

    @Override
    public byte[] query(byte[] question) {
        BinaryCodec.Writer out = new BinaryCodec.Writer();
        List<Long> list = lists.get(new BinaryCodec.Reader("question", question).i32());
        out.i32(list.size());
        list.forEach(out::i64);
        return out.toByteArray();
    }

    @Override
    public byte[] snapshot() {
        BinaryCodec.Writer out = new BinaryCodec.Writer();
        for (int key = 0; key < KEYS; key++) {
            out.blob(query(encodeQuery(key)));
        }
        return out.toByteArray();
    }

    @Override
    public void restore(byte[] snapshot) {
        restoreListener.run();
        BinaryCodec.Reader in = new BinaryCodec.Reader("lists", snapshot);
        for (int key = 0; key < KEYS; key++) {
            lists.set(key, list(in.blob(1 << 24)));
        }
    }
}
