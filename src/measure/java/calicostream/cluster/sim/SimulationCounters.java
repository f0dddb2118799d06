// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.EnumMap;
import java.util.Map;

/** Counts what happened in one simulation; used by its one thread. */
final class SimulationCounters {
    /**
     * The final counts.
     *
     * @param acknowledged commands that were accepted
     * @param terms that had a leader
     * @param voterChanges changes of the voters that were decided
     * @param rejectedGenerations retired voter generations that were rejected
     * @param detectedDiskFaults silent disk faults that were detected
     * @param expiredSessions sessions that the leader expired
     * @param restoredSnapshots snapshots that were installed
     */
    record Counts(
            long acknowledged,
            int terms,
            int voterChanges,
            int rejectedGenerations,
            int detectedDiskFaults,
            int expiredSessions,
            int restoredSnapshots) {}

    private final Map<FaultSchedule.FaultKind, Integer> faults =
            new EnumMap<>(FaultSchedule.FaultKind.class);
    private long acknowledged;
    private int voterChanges;
    private int rejectedGenerations;
    private int detectedDiskFaults;
    private int restoredSnapshots;

    void faultInjected(FaultSchedule.FaultKind kind) {
        faults.merge(kind, 1, Integer::sum);
    }

    void commandAcknowledged() {
        acknowledged++;
    }

    void voterChangeDecided() {
        voterChanges++;
    }

    void generationRejected() {
        rejectedGenerations++;
    }

    void diskFaultDetected() {
        detectedDiskFaults++;
    }

    void snapshotRestored() {
        restoredSnapshots++;
    }

    Map<FaultSchedule.FaultKind, Integer> faults() {
        return faults;
    }

    Counts counts(int terms, int expiredSessions) {
        return new Counts(
                acknowledged,
                terms,
                voterChanges,
                rejectedGenerations,
                detectedDiskFaults,
                expiredSessions,
                restoredSnapshots);
    }
}
