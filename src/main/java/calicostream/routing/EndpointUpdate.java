// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** How a roster is to be read; {@code FAILED} says that a request for it failed. */
public enum EndpointUpdate {
    INCREMENTAL,
    COMPLETE,
    CACHED,
    FAILED
}
