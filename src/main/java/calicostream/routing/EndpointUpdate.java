// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** How a list of engines relates to the one before. */
public enum EndpointUpdate {
    /** It names the engines that changed; the others stay as they were. */
    INCREMENTAL,
    /** It names all engines; others have been removed. */
    COMPLETE,
    /** It names all engines as last known before this gateway started. */
    CACHED,
    /** The request for the list failed; there is none. */
    FAILED
}
