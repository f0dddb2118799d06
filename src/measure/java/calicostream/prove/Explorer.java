// SPDX-License-Identifier: Apache-2.0
package calicostream.prove;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * Breadth first over the states of a {@link Model}, so that the first break found is one of the
 * shortest. A state is remembered as a hash of 64 bits, its parent and its action, 14 bytes and the
 * table's slack, and kept whole only while it waits to be looked at. Two states with one hash would
 * hide the later one: at ten million states that has a chance of three in a million.
 */
public final class Explorer {
    /**
     * {@code complete}: every state that can be reached was; {@code broken} and {@code trace} are
     * null and empty without a break.
     */
    public record Result(
            String model,
            long states,
            long steps,
            int depth,
            boolean complete,
            String broken,
            List<String> trace) {
        @Override
        public String toString() {
            return model
                    + ": "
                    + states
                    + " states, "
                    + steps
                    + " steps, depth "
                    + depth
                    + (complete ? ", all there are" : "")
                    + (broken == null
                            ? ", no break"
                            : ", BROKEN: " + broken + "\n  " + String.join("\n  ", trace));
        }
    }

    private static final int ROOT = -1;
    private final Model model;
    private final long most;
    private long[] table = new long[1 << 16];
    private int[] parents = new int[1 << 14];
    private short[] actions = new short[1 << 14];
    private int known;
    private long steps;
    private String broken;
    private int brokenAction;

    private Explorer(Model model, long most) {
        this.model = model;
        this.most = most;
    }

    /** Until a break, the end, or that many states. */
    public static Result explore(Model model, long mostStates) {
        return new Explorer(model, mostStates).run();
    }

    private Result run() {
        ArrayDeque<byte[]> waiting = new ArrayDeque<>();
        for (byte[] state : model.initial()) {
            add(waiting, state, ROOT, 0);
        }
        int looked = 0;
        int depth = 0;
        int nextDepthAt = known;
        while (!waiting.isEmpty() && known < most) {
            byte[] state = waiting.poll();
            int at = looked++;
            model.steps(
                    state,
                    new Model.Steps() {
                        @Override
                        public void to(int action, byte[] next) {
                            steps++;
                            add(waiting, next, at, action);
                        }

                        @Override
                        public void broken(int action, String promise) {
                            if (broken == null) {
                                broken = promise;
                                brokenAction = action;
                            }
                        }
                    });
            if (broken != null) {
                return new Result(model.name(), known, steps, depth + 1, false, broken, trace(at));
            }
            if (looked == nextDepthAt) {
                depth++;
                nextDepthAt = known;
            }
        }
        return new Result(model.name(), known, steps, depth, waiting.isEmpty(), null, List.of());
    }

    private List<String> trace(int last) {
        List<String> trace = new ArrayList<>();
        trace.add(model.describe(brokenAction));
        for (int at = last; parents[at] != ROOT; at = parents[at]) {
            trace.add(model.describe(actions[at]));
        }
        Collections.reverse(trace);
        return trace;
    }

    private void add(ArrayDeque<byte[]> waiting, byte[] state, int parent, int action) {
        if (!remember(hash(state))) {
            return;
        }
        if (known == parents.length) {
            parents = Arrays.copyOf(parents, known * 2);
            actions = Arrays.copyOf(actions, known * 2);
        }
        parents[known] = parent;
        actions[known] = (short) action;
        known++;
        waiting.add(state);
    }

    private boolean remember(long hash) {
        if (known * 5L > table.length * 3L) {
            long[] old = table;
            table = new long[old.length * 2];
            for (long each : old) {
                if (each != 0) {
                    table[slot(each)] = each;
                }
            }
        }
        int slot = slot(hash);
        if (table[slot] == hash) {
            return false;
        }
        table[slot] = hash;
        return true;
    }

    private int slot(long hash) {
        int slot = (int) (hash >>> 20) & table.length - 1;
        while (table[slot] != 0 && table[slot] != hash) {
            slot = slot + 1 & table.length - 1;
        }
        return slot;
    }

    /** MurmurHash's 64-bit mixing over the bytes; never 0, which marks an empty slot. */
    private static long hash(byte[] state) {
        long hash = 0x9E3779B97F4A7C15L ^ state.length;
        int at = 0;
        while (at < state.length) {
            long word = 0;
            for (int end = Math.min(state.length, at + 8); at < end; at++) {
                word = word << 8 | state[at] & 0xff;
            }
            hash = mix(hash ^ mix(word + 0x632BE59BD9B4E019L)) + 0x9E3779B97F4A7C15L;
        }
        return hash == 0 ? 1 : hash;
    }

    private static long mix(long z) {
        z = (z ^ z >>> 33) * 0xff51afd7ed558ccdL;
        z = (z ^ z >>> 33) * 0xc4ceb9fe1a85ec53L;
        return z ^ z >>> 33;
    }
}
