// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberMessage;

/** Appends and reads of the members, recorded for the {@link HistoryChecker}. */
final class ClusterWorkload {
    /** Name of the state machine. */
    static final String MACHINE = "lists";

    /** Of ten operations, so many are appends; the rest up to the next bound quorum reads. */
    private static final int APPENDS_OF_TEN = 5;

    private static final int APPENDS_AND_READS_OF_TEN = 8;

    private final ClusterSimulation cluster;
    private final HistoryChecker history;
    private boolean isRunning = true;
    private long lastValue;

    ClusterWorkload(ClusterSimulation cluster, HistoryChecker history) {
        this.cluster = cluster;
        this.history = history;
    }

    boolean isRunning() {
        return isRunning;
    }

    void stop() {
        isRunning = false;
    }

    void startOperation(SimulatedMember member) {
        SimulatedWorld world = cluster.world();
        int key = world.random.nextInt(AppendOnlyLists.KEYS);
        int choice = world.random.nextInt(10);
        if (choice < APPENDS_OF_TEN) {
            lastValue++;
            append(member, new HistoryChecker.Operation(key, lastValue, true, world.now()));
        } else {
            MemberMessage.Operation kind =
                    choice < APPENDS_AND_READS_OF_TEN
                            ? MemberMessage.Operation.READ
                            : MemberMessage.Operation.LOCAL_READ;
            read(member, kind, new HistoryChecker.Operation(key, 0, false, world.now()));
        }
    }

    private void append(SimulatedMember member, HistoryChecker.Operation operation) {
        history.operations.add(operation);
        member.session()
                .submit(
                        MACHINE,
                        AppendOnlyLists.encodeAppend(operation.key, operation.value),
                        outcome -> appendEnded(operation, outcome));
    }

    private void appendEnded(HistoryChecker.Operation operation, CommandOutcome outcome) {
        operation.endedNanos = cluster.world().now();
        if (outcome.isAccepted()) {
            operation.outcome = HistoryChecker.Outcome.OK;
            operation.length = new BinaryCodec.Reader("length", outcome.response()).i32();
            cluster.counters().commandAcknowledged();
        } else if (outcome.code().equals(ClusterException.OutcomeUnknown.CODE)) {
            operation.outcome = HistoryChecker.Outcome.UNKNOWN;
        } else {
            operation.outcome = HistoryChecker.Outcome.NOT_APPLIED;
        }
    }

    private void read(
            SimulatedMember member,
            MemberMessage.Operation kind,
            HistoryChecker.Operation operation) {
        history.operations.add(operation);
        member.session()
                .read(
                        kind,
                        MACHINE,
                        AppendOnlyLists.encodeQuery(operation.key),
                        member.process().nanoTime(),
                        reply -> readEnded(kind, operation, reply));
    }

    private void readEnded(
            MemberMessage.Operation kind,
            HistoryChecker.Operation operation,
            MemberMessage.Reply reply) {
        operation.endedNanos = cluster.world().now();
        if (!reply.outcome().isAccepted()) {
            return;
        }
        operation.outcome = HistoryChecker.Outcome.OK;
        operation.observed = AppendOnlyLists.list(reply.outcome().response());
        operation.length = operation.observed.size();
        if (kind == MemberMessage.Operation.LOCAL_READ) {
            // The age was measured by clocks that drift.
            operation.ageNanos = reply.ageNanos() + reply.ageNanos() / 500 + 1;
        }
    }
}
