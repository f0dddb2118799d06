// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Kind of a progress report of an attempt. */
public enum ProgressKind {
    /** The completed share of the work. */
    FRACTION_DONE,
    /** The query spills to disk because it lacks memory. */
    SPILLING,
    /** The query waits for memory. */
    WAITING_FOR_MEMORY,
    /** The query waits for a load of the same tables. */
    WAITING_FOR_LOAD,
    /** Anything else. */
    OTHER
}
