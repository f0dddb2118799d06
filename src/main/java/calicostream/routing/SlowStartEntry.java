// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Work sent to an engine during its warm-up.
 *
 * @param sentAt time at which it was sent, in microseconds
 * @param workMicros work in core-microseconds
 * @param queryClass index of the query class, or {@link #ALL_CLASSES}
 */
record SlowStartEntry(long sentAt, double workMicros, int queryClass) {
    private static final int ALL_CLASSES = -1;

    /** Returns an entry that exhausts the allowance of all classes. */
    static SlowStartEntry exhausting(long now) {
        return new SlowStartEntry(now, Double.MAX_VALUE, ALL_CLASSES);
    }

    boolean appliesToAllClasses() {
        return queryClass < 0;
    }
}
