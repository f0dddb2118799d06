// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.EnumSet;
import java.util.Set;

/** The states of a {@link Request}, in the order in which it can pass them. */
enum RequestState {
    /** Accepted; the router has not been notified of it yet. */
    QUEUED,
    /** The router decides when and where it is attempted. */
    ROUTED,
    /** A part of its result has gone to the client: no other attempt, no deadline. */
    STREAMING,
    /** It has had its final answer, or its client has left. */
    ANSWERED;

    /** Whether a request may pass from this state to the other one. */
    boolean canBecome(RequestState next) {
        return successors().contains(next);
    }

    private Set<RequestState> successors() {
        return switch (this) {
            case QUEUED -> EnumSet.of(ROUTED, ANSWERED);
            case ROUTED -> EnumSet.of(STREAMING, ANSWERED);
            case STREAMING -> EnumSet.of(ANSWERED);
            case ANSWERED -> EnumSet.noneOf(RequestState.class);
        };
    }
}
