// SPDX-License-Identifier: Apache-2.0
package calicostream.prove;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * The model checker: explores the states of a {@link Model} breadth first, so that the first
 * violation found has one of the shortest traces. A visited state is stored as a 64-bit hash, its
 * parent and its action, which takes 14 bytes and the hash table's free slots; the complete state
 * is kept only until it is expanded. Of two states with equal hashes the later one is not explored:
 * with ten million states that happens with a probability of three in a million.
 */
public final class Explorer {
    /**
     * The result of an exploration.
     *
     * @param model the model's name
     * @param states number of states visited
     * @param transitions number of transitions reported
     * @param depth number of actions from an initial state to the last state expanded
     * @param complete whether every reachable state was visited
     * @param violation the invariant that was violated; null if none was
     * @param trace descriptions of the actions from an initial state to the violation; empty if
     *     there is none
     */
    public record Result(
            String model,
            long states,
            long transitions,
            int depth,
            boolean complete,
            String violation,
            List<String> trace) {
        @Override
        public String toString() {
            return model
                    + ": "
                    + states
                    + " states, "
                    + transitions
                    + " steps, depth "
                    + depth
                    + (complete ? ", all there are" : "")
                    + (violation == null
                            ? ", no break"
                            : ", BROKEN: " + violation + "\n  " + String.join("\n  ", trace));
        }
    }

    /** The parent of an initial state. */
    private static final int NO_PARENT = -1;

    private static final int INITIAL_TABLE_SIZE = 1 << 16;
    private static final int INITIAL_STATES = 1 << 14;

    private final Model model;
    private final long maxStates;
    private final ArrayDeque<byte[]> frontier = new ArrayDeque<>();
    private long[] table = new long[INITIAL_TABLE_SIZE]; // hashes; open addressing, 0 is free
    private int[] parents = new int[INITIAL_STATES]; // by state number
    private short[] actions = new short[INITIAL_STATES]; // by state number
    private int knownStates;
    private long transitions;
    private String violation;
    private int violatingAction;

    private Explorer(Model model, long maxStates) {
        this.model = model;
        this.maxStates = maxStates;
    }

    /** Explores until a violation, the last reachable state, or that many states. */
    public static Result explore(Model model, long maxStates) {
        return new Explorer(model, maxStates).run();
    }

    private Result run() {
        for (byte[] state : model.initial()) {
            add(state, NO_PARENT, 0);
        }
        int expanded = 0;
        int depth = 0;
        int nextDepthAt = knownStates;
        while (!frontier.isEmpty() && knownStates < maxStates) {
            int number = expanded;
            expanded++;
            expand(frontier.poll(), number);
            if (violation != null) {
                return result(depth + 1, false, trace(number));
            }
            if (expanded == nextDepthAt) {
                depth++;
                nextDepthAt = knownStates;
            }
        }
        return result(depth, frontier.isEmpty(), List.of());
    }

    private Result result(int depth, boolean complete, List<String> trace) {
        return new Result(
                model.name(), knownStates, transitions, depth, complete, violation, trace);
    }

    private void expand(byte[] state, int number) {
        model.transitions(
                state,
                new Model.Transitions() {
                    @Override
                    public void to(int action, byte[] next) {
                        transitions++;
                        add(next, number, action);
                    }

                    @Override
                    public void violation(int action, String invariant) {
                        if (violation == null) {
                            violation = invariant;
                            violatingAction = action;
                        }
                    }
                });
    }

    private List<String> trace(int lastState) {
        List<String> trace = new ArrayList<>();
        trace.add(model.describe(violatingAction));
        for (int number = lastState; parents[number] != NO_PARENT; number = parents[number]) {
            trace.add(model.describe(actions[number]));
        }
        Collections.reverse(trace);
        return trace;
    }

    private void add(byte[] state, int parent, int action) {
        if (!remember(hash(state))) {
            return;
        }
        if (knownStates == parents.length) {
            parents = Arrays.copyOf(parents, knownStates * 2);
            actions = Arrays.copyOf(actions, knownStates * 2);
        }
        parents[knownStates] = parent;
        actions[knownStates] = (short) action;
        knownStates++;
        frontier.add(state);
    }

    /**
     * Stores a hash.
     *
     * @return false if it was stored already
     */
    private boolean remember(long hash) {
        boolean isTableFull = knownStates * 5L > table.length * 3L; // more than 60% in use
        if (isTableFull) {
            doubleTable();
        }
        int slot = slot(hash);
        if (table[slot] == hash) {
            return false;
        }
        table[slot] = hash;
        return true;
    }

    private void doubleTable() {
        long[] old = table;
        table = new long[old.length * 2];
        for (long hash : old) {
            if (hash != 0) {
                table[slot(hash)] = hash;
            }
        }
    }

    /** The slot that holds the hash, or the free one where it belongs. */
    private int slot(long hash) {
        int slot = (int) (hash >>> 20) & table.length - 1;
        while (table[slot] != 0 && table[slot] != hash) {
            slot = slot + 1 & table.length - 1;
        }
        return slot;
    }

    /** MurmurHash3's 64-bit finalizer over the bytes; never 0, which marks a free slot. */
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
