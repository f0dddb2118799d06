// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** A plan of faults, drawn whole before a run so that a failing one can be thinned out. */
final class Faults {
    enum Kind {
        CUT_ONE_WAY,
        CUT_BOTH,
        ISOLATE,
        LOSS,
        DOUBLING,
        DELAY,
        REORDER,
        STALL,
        LONG_STALL,
        CRASH,
        STOP,
        CRASH_ALL_VOTERS,
        DISK_FAILS,
        DRIFT,
        HAND_OVER,
        ADD_VOTER,
        REMOVE_VOTER,
        MEMBER_CRASH,
        CLOCK_STEP,
        CRASH_IN_CALL,
        AMNESIA,
        LOG_EMPTY,
        MARKS_EMPTY,
        BOTH_OLDER,
        LOG_OLDER,
        MARKS_OLDER,
        FOREIGN,
        LOST_SYNC,
        ROT
    }

    /**
     * What disks do without a word; told only where a voter may be spared, and counted only then.
     */
    static final Set<Kind> LIES = EnumSet.range(Kind.AMNESIA, Kind.ROT);

    /** {@code a} and {@code b} pick processes, {@code lasts} is in milliseconds. */
    record Fault(long atMillis, Kind kind, int a, int b, int lasts) {}

    private Faults() {}

    static List<Fault> draw(long seed, int millis) {
        Random random = new Random(seed ^ 0x5DEECE66DL);
        List<Fault> faults = new ArrayList<>();
        int every = 100 + random.nextInt(900);
        for (long at = 500 + random.nextInt(every);
                at < millis;
                at += 1 + random.nextInt(2 * every)) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            int lasts = 20 + (int) Math.pow(random.nextDouble() * 60, 2);
            faults.add(
                    new Fault(at, kind, random.nextInt(1 << 20), random.nextInt(1 << 20), lasts));
        }
        return faults;
    }
}
