// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** What a progress report of an attempt is about. */
public enum ProgressKind {
    /** The part of the work that is done. */
    FRACTION_DONE,
    /** The query spills to disk for want of memory. */
    SPILLING,
    /** The query waits for memory. */
    WAITING_FOR_MEMORY,
    /** The query waits for a load of the same tables. */
    WAITING_FOR_LOAD,
    /** Anything else. */
    OTHER
}
