// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** A schedule of faults, drawn before the run so that a failing one can be minimized. */
final class FaultSchedule {
    /** The kinds of faults; a schedule is drawn by their order. */
    enum FaultKind {
        CUT_ONE_WAY,
        CUT_BOTH,
        ISOLATE,
        LOSS,
        DUPLICATION,
        DELAY,
        REORDER,
        PAUSE,
        LONG_PAUSE,
        CRASH,
        STOP,
        CRASH_ALL_VOTERS,
        DISK_FAILS,
        DRIFT,
        LEADERSHIP_TRANSFER,
        ADD_VOTER,
        REMOVE_VOTER,
        MEMBER_CRASH,
        CLOCK_STEP,
        CRASH_IN_DISK_CALL,
        BOTH_EMPTY,
        LOG_EMPTY,
        MARKS_EMPTY,
        BOTH_OLDER,
        LOG_OLDER,
        MARKS_OLDER,
        FOREIGN_LOG,
        LOST_SYNC,
        BIT_FLIP
    }

    /** Faults of the links. */
    static final Set<FaultKind> NETWORK_FAULTS =
            EnumSet.range(FaultKind.CUT_ONE_WAY, FaultKind.REORDER);

    /**
     * Faults of disks that no call reports; injected and counted only where the cluster can lose
     * the voter.
     */
    static final Set<FaultKind> SILENT_DISK_FAULTS =
            EnumSet.range(FaultKind.BOTH_EMPTY, FaultKind.BIT_FLIP);

    /**
     * One fault.
     *
     * @param firstPick picks the process that it hits
     * @param secondPick picks a second process, or a parameter of the fault
     */
    record Fault(
            long atMillis, FaultKind kind, int firstPick, int secondPick, int durationMillis) {}

    private FaultSchedule() {}

    static List<Fault> draw(long seed, int millis) {
        Random random = new Random(seed ^ 0x5DEECE66DL);
        List<Fault> faults = new ArrayList<>();
        int periodMillis = 100 + random.nextInt(900);
        for (long at = 500 + random.nextInt(periodMillis);
                at < millis;
                at += 1 + random.nextInt(2 * periodMillis)) {
            FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
            int durationMillis = 20 + (int) Math.pow(random.nextDouble() * 60, 2);
            faults.add(
                    new Fault(
                            at,
                            kind,
                            random.nextInt(1 << 20),
                            random.nextInt(1 << 20),
                            durationMillis));
        }
        return faults;
    }
}
