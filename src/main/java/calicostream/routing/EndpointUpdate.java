// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Kind of an update of the endpoint list. */
public enum EndpointUpdate {
    /** The list contains only the engines that changed. */
    INCREMENTAL,
    /** The list contains all engines; engines that are missing from it have been removed. */
    COMPLETE,
    /** The list contains all engines as last known before this gateway started. */
    CACHED,
    /** The request for the list failed; the update has no endpoints. */
    FAILED
}
