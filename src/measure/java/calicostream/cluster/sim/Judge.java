// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges a history of appends and reads against the lists as they ended; knows nothing of the
 * program. An append names its place, so the order of all appends to a key is known and the history
 * is linearizable if and only if each operation's place in it fits between what had ended before it
 * began and what began before it ended.
 */
final class Judge {
    /** How an operation ended. */
    enum End {
        OK,
        UNKNOWN,
        NEVER
    }

    static final class Op {
        final int key;
        final long value;
        final boolean append;
        final long began;
        long ended = Long.MAX_VALUE;
        End end = End.UNKNOWN;

        /** Length of the list that it saw or made. */
        int length;

        List<Long> seen = List.of();

        /**
         * Of a local read: what had ended longer ago than this must be in it; -1 if it is no local
         * read.
         */
        long age = -1;

        Op(int key, long value, boolean append, long began) {
            this.key = key;
            this.value = value;
            this.append = append;
            this.began = began;
        }
    }

    final List<Op> ops = new ArrayList<>();

    /** Empty if the history is right. */
    List<String> faults(int key, List<Long> last) {
        List<String> faults = new ArrayList<>();
        Map<Long, Integer> places = new HashMap<>();
        for (int i = 0; i < last.size(); i++) {
            if (places.put(last.get(i), i + 1) != null) {
                faults.add("applied twice: " + last.get(i));
            }
        }
        Map<Long, Op> appends = new HashMap<>();
        List<Op> done = new ArrayList<>();
        for (Op op : ops) {
            if (op.key != key) {
                continue;
            }
            if (op.append) {
                appends.put(op.value, op);
                Integer place = places.get(op.value);
                if (op.end == End.OK && (place == null || place != op.length)) {
                    faults.add(
                            "acknowledged at " + op.length + " but at " + place + ": " + op.value);
                } else if (op.end == End.NEVER && place != null) {
                    faults.add("said not to be applied, but is: " + op.value);
                }
            } else if (op.end == End.OK
                    && (op.length > last.size() || !last.subList(0, op.length).equals(op.seen))) {
                faults.add("a read saw what is no prefix: " + op.seen + " of " + last);
            }
            if (op.end == End.OK) {
                done.add(op);
            }
        }
        for (Op op : done) {
            long from = op.age >= 0 ? op.ended - op.age : op.began;
            for (Op before : done) {
                if (before.ended < from
                        && before.age < 0
                        && (before.length > op.length || op.append && before.length == op.length)) {
                    faults.add(
                            (op.append
                                            ? "append"
                                            : op.age >= 0 ? "local read of age " + op.age : "read")
                                    + " of length "
                                    + op.length
                                    + " begun at "
                                    + op.began
                                    + " after one of "
                                    + before.length
                                    + " ended at "
                                    + before.ended);
                }
            }
            if (op.length > 0 && op.length <= last.size()) {
                Op newest = appends.get(last.get(op.length - 1));
                if (newest == null || newest.began > op.ended) {
                    faults.add("saw what was appended later: " + last.get(op.length - 1));
                }
            }
        }
        return faults;
    }
}
