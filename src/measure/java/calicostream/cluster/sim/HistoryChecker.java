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
final class HistoryChecker {
    /** How an operation ended. */
    enum Outcome {
        OK,
        UNKNOWN,
        NOT_APPLIED
    }

    static final class Operation {
        final int key;
        final long value;
        final boolean isAppend;
        final long startedNanos;
        long endedNanos = Long.MAX_VALUE;
        Outcome outcome = Outcome.UNKNOWN;

        /** Length of the list that it saw or made. */
        int length;

        List<Long> observed = List.of();

        /**
         * Of a local read: what had ended longer ago than this must be in it; -1 if it is no local
         * read.
         */
        long ageNanos = -1;

        Operation(int key, long value, boolean append, long began) {
            this.key = key;
            this.value = value;
            this.isAppend = append;
            this.startedNanos = began;
        }
    }

    final List<Operation> operations = new ArrayList<>();

    /** Empty if the history is right. */
    List<String> violations(int key, List<Long> last) {
        List<String> faults = new ArrayList<>();
        Map<Long, Integer> places = new HashMap<>();
        for (int i = 0; i < last.size(); i++) {
            if (places.put(last.get(i), i + 1) != null) {
                faults.add("applied twice: " + last.get(i));
            }
        }
        Map<Long, Operation> appends = new HashMap<>();
        List<Operation> done = new ArrayList<>();
        for (Operation op : operations) {
            if (op.key != key) {
                continue;
            }
            if (op.isAppend) {
                appends.put(op.value, op);
                Integer place = places.get(op.value);
                if (op.outcome == Outcome.OK && (place == null || place != op.length)) {
                    faults.add(
                            "acknowledged at " + op.length + " but at " + place + ": " + op.value);
                } else if (op.outcome == Outcome.NOT_APPLIED && place != null) {
                    faults.add("said not to be applied, but is: " + op.value);
                }
            } else if (op.outcome == Outcome.OK
                    && (op.length > last.size()
                            || !last.subList(0, op.length).equals(op.observed))) {
                faults.add("a read saw what is no prefix: " + op.observed + " of " + last);
            }
            if (op.outcome == Outcome.OK) {
                done.add(op);
            }
        }
        for (Operation op : done) {
            long from = op.ageNanos >= 0 ? op.endedNanos - op.ageNanos : op.startedNanos;
            for (Operation before : done) {
                if (before.endedNanos < from
                        && before.ageNanos < 0
                        && (before.length > op.length
                                || op.isAppend && before.length == op.length)) {
                    faults.add(
                            (op.isAppend
                                            ? "append"
                                            : op.ageNanos >= 0
                                                    ? "local read of age " + op.ageNanos
                                                    : "read")
                                    + " of length "
                                    + op.length
                                    + " begun at "
                                    + op.startedNanos
                                    + " after one of "
                                    + before.length
                                    + " ended at "
                                    + before.endedNanos);
                }
            }
            if (op.length > 0 && op.length <= last.size()) {
                Operation newest = appends.get(last.get(op.length - 1));
                if (newest == null || newest.startedNanos > op.endedNanos) {
                    faults.add("saw what was appended later: " + last.get(op.length - 1));
                }
            }
        }
        return faults;
    }
}
