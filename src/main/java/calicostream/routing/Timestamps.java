// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Defines special timestamps for comparisons. */
final class Timestamps {
    /** Time before any event; differences from it do not overflow a long. */
    static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private Timestamps() {}
}
