// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/**
 * Ways in which a disk or an operator loses or changes files without an error. The constants' order
 * is part of the seed of a trial.
 */
enum SilentFault {
    LOG_SYNC_LOST,
    MARKS_SYNC_LOST,
    BOTH_SYNC_LOST,
    LOG_OLDER,
    MARKS_OLDER,
    BOTH_OLDER,
    LOG_EMPTY,
    MARKS_EMPTY,
    BOTH_EMPTY,
    LOG_FOREIGN,
    MARKS_FOREIGN,
    LOG_ROT,
    MARKS_ROT,
    SNAPSHOT_ROT,
    SEGMENT_GONE,
    SEGMENT_OLDER,
    SNAPSHOT_GONE,
    LOG_BRANCHED,
    SEGMENT_BRANCHED,
    BOTH_OLDER_APART;

    boolean dropsLogSyncs() {
        return this == LOG_SYNC_LOST || this == BOTH_SYNC_LOST;
    }

    boolean dropsMarkerSyncs() {
        return this == MARKS_SYNC_LOST || this == BOTH_SYNC_LOST;
    }

    /** Whether log and markers are affected alike, so that only peers can detect it. */
    boolean affectsBothDisksAlike() {
        return this == BOTH_SYNC_LOST || this == BOTH_OLDER || this == BOTH_EMPTY;
    }

    boolean isForeign() {
        return this == LOG_FOREIGN || this == MARKS_FOREIGN;
    }

    boolean isBranched() {
        return this == LOG_BRANCHED || this == SEGMENT_BRANCHED;
    }
}
