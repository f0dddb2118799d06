// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.Bytes;
import calicostream.cluster.Command;
import calicostream.cluster.Effects;
import calicostream.cluster.Machine;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Lists to append to, since their histories can be judged in linear time; tells each call to a
 * listener.
 */
final class Lists implements Machine {
    static final int KEYS = 3;
    private final BiConsumer<Long, String> heard;
    private final Runnable restored;
    private final List<List<Long>> lists = new ArrayList<>();

    Lists(BiConsumer<Long, String> heard, Runnable restored) {
        this.heard = heard;
        this.restored = restored;
        for (int i = 0; i < KEYS; i++) {
            lists.add(new ArrayList<>());
        }
    }

    static byte[] append(int key, long value) {
        return new Bytes.Writer().i32(key).i64(value).done();
    }

    static byte[] which(int key) {
        return new Bytes.Writer().i32(key).done();
    }

    static List<Long> list(byte[] answer) {
        Bytes.Reader in = new Bytes.Reader("list", answer);
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
    public Effects apply(long index, Command command) {
        heard.accept(
                index,
                command.session()
                        + "/"
                        + command.sequence()
                        + "/"
                        + Arrays.hashCode(command.body()));
        Bytes.Reader in = new Bytes.Reader("append", command.body());
        List<Long> list = lists.get(in.i32());
        list.add(in.i64());
        return Effects.answer(new Bytes.Writer().i32(list.size()).done());
    }

    @Override
    public Effects sessionEnded(long index, long session) {
        heard.accept(index, "ended " + session);
        return Effects.NONE;
    }

    @Override
    public Effects eraBegan(long index, long era) {
        heard.accept(index, "era " + era);
        return Effects.NONE;
    }

    @Override
    public byte[] query(byte[] question) {
        Bytes.Writer out = new Bytes.Writer();
        List<Long> list = lists.get(new Bytes.Reader("question", question).i32());
        out.i32(list.size());
        list.forEach(out::i64);
        return out.done();
    }

    @Override
    public byte[] snapshot() {
        Bytes.Writer out = new Bytes.Writer();
        for (int key = 0; key < KEYS; key++) {
            out.blob(query(which(key)));
        }
        return out.done();
    }

    @Override
    public void restore(byte[] snapshot) {
        restored.run();
        Bytes.Reader in = new Bytes.Reader("lists", snapshot);
        for (int key = 0; key < KEYS; key++) {
            lists.set(key, list(in.blob(1 << 24)));
        }
    }
}
