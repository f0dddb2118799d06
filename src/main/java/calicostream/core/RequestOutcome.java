// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/** How a request ended. */
public enum RequestOutcome {
    /** Its complete result was delivered. */
    SERVED,
    /** It was rejected, and the client may safely send it again. */
    REJECTED,
    /** It failed, or got a final status; nothing is promised about its effect. */
    FAILED,
    /** Its client left before there was an answer. */
    ABANDONED
}
