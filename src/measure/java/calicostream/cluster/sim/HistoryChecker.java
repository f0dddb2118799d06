// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that a history of appends and reads is linearizable, given the final lists; it knows no
 * class of the program. The outcome of an append tells its position, so the order of all appends to
 * a key is known. The history is linearizable if and only if each operation's position fits between
 * the operations that had ended before it started and those that started after it ended.
 */
final class HistoryChecker {
    private static final long NOT_LOCAL = -1;

    /** How an operation ended. */
    enum Outcome {
        OK,
        UNKNOWN,
        NOT_APPLIED
    }

    /** An append or read; its outcome is unknown until it ends. */
    static final class Operation {
        private final int key;
        private final long value;
        private final boolean isAppend;
        private final long startedNanos;
        private long endedNanos = Long.MAX_VALUE;
        private Outcome outcome = Outcome.UNKNOWN;

        /** Length of the list that the operation made or observed. */
        private int length;

        private List<Long> observed = List.of();

        /** Of a local read: what had ended longer ago than this must have been observed. */
        private long ageNanos = NOT_LOCAL;

        private Operation(int key, long value, boolean isAppend, long startedNanos) {
            this.key = key;
            this.value = value;
            this.isAppend = isAppend;
            this.startedNanos = startedNanos;
        }

        int key() {
            return key;
        }

        long value() {
            return value;
        }

        void ended(long nowNanos, Outcome result) {
            endedNanos = nowNanos;
            outcome = result;
        }

        void appended(long nowNanos, int newLength) {
            ended(nowNanos, Outcome.OK);
            length = newLength;
        }

        void observed(long nowNanos, List<Long> list) {
            ended(nowNanos, Outcome.OK);
            observed = list;
            length = list.size();
        }

        void observedLocally(long nowNanos, List<Long> list, long maxAgeNanos) {
            observed(nowNanos, list);
            ageNanos = maxAgeNanos;
        }

        private boolean isLocal() {
            return ageNanos != NOT_LOCAL;
        }

        private boolean isOk() {
            return outcome == Outcome.OK;
        }

        /** What had ended before this time has to precede the operation. */
        private long notBeforeNanos() {
            return isLocal() ? endedNanos - ageNanos : startedNanos;
        }

        private String description() {
            if (isAppend) {
                return "append";
            }
            return isLocal() ? "local read of age " + ageNanos : "read";
        }
    }

    private final List<Operation> operations = new ArrayList<>();

    Operation startAppend(int key, long value, long nowNanos) {
        return add(new Operation(key, value, true, nowNanos));
    }

    Operation startRead(int key, long nowNanos) {
        return add(new Operation(key, 0, false, nowNanos));
    }

    private Operation add(Operation operation) {
        operations.add(operation);
        return operation;
    }

    /** Checks the operations on one key; returns an empty list if the history is linearizable. */
    List<String> violations(int key, List<Long> finalList) {
        List<Operation> ofKey = operations.stream().filter(each -> each.key == key).toList();
        List<Operation> successful = ofKey.stream().filter(Operation::isOk).toList();
        List<String> violations = new ArrayList<>();
        Map<Long, Integer> positions = positions(finalList, violations);
        Map<Long, Operation> appends = new HashMap<>();
        for (Operation operation : ofKey) {
            if (operation.isAppend) {
                appends.put(operation.value, operation);
                checkAppend(operation, positions.get(operation.value), violations);
            } else {
                checkRead(operation, finalList, violations);
            }
        }
        for (Operation operation : successful) {
            checkOrder(operation, successful, violations);
            checkNewestObserved(operation, finalList, appends, violations);
        }
        return violations;
    }

    private static Map<Long, Integer> positions(List<Long> finalList, List<String> violations) {
        Map<Long, Integer> positions = new HashMap<>();
        for (int i = 0; i < finalList.size(); i++) {
            if (positions.put(finalList.get(i), i + 1) != null) {
                violations.add("applied twice: " + finalList.get(i));
            }
        }
        return positions;
    }

    private static void checkAppend(Operation append, Integer position, List<String> violations) {
        if (append.isOk() && (position == null || position != append.length)) {
            violations.add(
                    "acknowledged at "
                            + append.length
                            + " but at "
                            + position
                            + ": "
                            + append.value);
        } else if (append.outcome == Outcome.NOT_APPLIED && position != null) {
            violations.add("reported as not applied, but is: " + append.value);
        }
    }

    private static void checkRead(Operation read, List<Long> finalList, List<String> violations) {
        if (!read.isOk()) {
            return;
        }
        boolean isPrefix =
                read.length <= finalList.size()
                        && finalList.subList(0, read.length).equals(read.observed);
        if (!isPrefix) {
            violations.add("a read is not a prefix: " + read.observed + " of " + finalList);
        }
    }

    private static void checkOrder(
            Operation operation, List<Operation> successful, List<String> violations) {
        for (Operation earlier : successful) {
            if (earlier.endedNanos >= operation.notBeforeNanos() || earlier.isLocal()) {
                continue;
            }
            if (earlier.length > operation.length
                    || operation.isAppend && earlier.length == operation.length) {
                violations.add(
                        operation.description()
                                + " of length "
                                + operation.length
                                + " started at "
                                + operation.startedNanos
                                + " after one of "
                                + earlier.length
                                + " ended at "
                                + earlier.endedNanos);
            }
        }
    }

    private static void checkNewestObserved(
            Operation operation,
            List<Long> finalList,
            Map<Long, Operation> appends,
            List<String> violations) {
        if (operation.length == 0 || operation.length > finalList.size()) {
            return;
        }
        long newest = finalList.get(operation.length - 1);
        Operation append = appends.get(newest);
        if (append == null || append.startedNanos > operation.endedNanos) {
            violations.add("observed what was appended later: " + newest);
        }
    }
}
