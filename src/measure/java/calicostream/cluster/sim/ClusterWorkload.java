// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberMessage;
import java.util.List;

/** Appends and reads of the members, recorded for the {@link HistoryChecker}. */
final class ClusterWorkload {
    /** Name of the state machine. */
    static final String MACHINE = "lists";

    /** Of ten operations, so many are appends; the rest up to the next bound quorum reads. */
    private static final int APPENDS_OF_TEN = 5;

    private static final int APPENDS_AND_READS_OF_TEN = 8;

    /** Two clocks that drift by 500 ppm, and as much in reserve. */
    private static final long DRIFT_DIVISOR = 500;

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
            append(member, history.startAppend(key, lastValue, world.now()));
        } else {
            MemberMessage.Operation kind =
                    choice < APPENDS_AND_READS_OF_TEN
                            ? MemberMessage.Operation.READ
                            : MemberMessage.Operation.LOCAL_READ;
            read(member, kind, history.startRead(key, world.now()));
        }
    }

    private void append(SimulatedMember member, HistoryChecker.Operation operation) {
        member.session()
                .submit(
                        MACHINE,
                        AppendOnlyLists.encodeAppend(operation.key(), operation.value()),
                        outcome -> appendEnded(operation, outcome));
    }

    private void appendEnded(HistoryChecker.Operation operation, CommandOutcome outcome) {
        long nowNanos = cluster.world().now();
        if (outcome.isAccepted()) {
            int length = new BinaryCodec.Reader("length", outcome.response()).i32();
            operation.appended(nowNanos, length);
            cluster.counters().commandAcknowledged();
        } else if (outcome.code().equals(ClusterException.OutcomeUnknown.CODE)) {
            operation.ended(nowNanos, HistoryChecker.Outcome.UNKNOWN);
        } else {
            operation.ended(nowNanos, HistoryChecker.Outcome.NOT_APPLIED);
        }
    }

    private void read(
            SimulatedMember member,
            MemberMessage.Operation kind,
            HistoryChecker.Operation operation) {
        member.session()
                .read(
                        kind,
                        MACHINE,
                        AppendOnlyLists.encodeQuery(operation.key()),
                        member.process().nanoTime(),
                        reply -> readEnded(kind, operation, reply));
    }

    private void readEnded(
            MemberMessage.Operation kind,
            HistoryChecker.Operation operation,
            MemberMessage.Reply reply) {
        long nowNanos = cluster.world().now();
        if (!reply.outcome().isAccepted()) {
            operation.ended(nowNanos, HistoryChecker.Outcome.UNKNOWN);
            return;
        }
        List<Long> list = AppendOnlyLists.list(reply.outcome().response());
        if (kind == MemberMessage.Operation.LOCAL_READ) {
            // The age was measured by clocks that drift.
            long maxAgeNanos = reply.ageNanos() + reply.ageNanos() / DRIFT_DIVISOR + 1;
            operation.observedLocally(nowNanos, list, maxAgeNanos);
        } else {
            operation.observed(nowNanos, list);
        }
    }
}
