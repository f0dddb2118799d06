// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Holds the special points in time that decisions compare with. */
final class Timestamps {
    /** Earlier than any event; far enough from the end of the range that differences fit a long. */
    static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private Timestamps() {}
}
