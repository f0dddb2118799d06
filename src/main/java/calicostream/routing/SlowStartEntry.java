// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Work sent to an engine that was warming up.
 *
 * @param sentAt when it was sent, in microseconds
 * @param workMicros work in core-microseconds
 * @param queryClass number of its class, or {@link #ALL_CLASSES}
 */
record SlowStartEntry(long sentAt, double workMicros, int queryClass) {
    private static final int ALL_CLASSES = -1;

    /** An entry that uses up what may be sent of any class. */
    static SlowStartEntry exhausting(long now) {
        return new SlowStartEntry(now, Double.MAX_VALUE, ALL_CLASSES);
    }

    boolean concernsAllClasses() {
        return queryClass < 0;
    }
}
