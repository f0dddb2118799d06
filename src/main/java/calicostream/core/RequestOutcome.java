// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/** How a request ended. */
public enum RequestOutcome {
    /** The complete result was delivered. */
    SERVED,
    /** The request was rejected, and the client may safely send it again. */
    REJECTED,
    /** The request failed or got a final status; it may or may not have taken effect. */
    FAILED,
    /** The client disconnected or cancelled the request before the final answer. */
    ABANDONED
}
