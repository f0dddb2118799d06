// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** What a progress event tells. */
public enum ProgressKind {
    FRACTION_DONE,
    SPILLING,
    WAITING_FOR_MEMORY,
    WAITING_FOR_LOAD,
    OTHER
}
