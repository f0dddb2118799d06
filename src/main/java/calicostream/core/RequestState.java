// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.EnumSet;
import java.util.Set;

/** The states of a {@link Request}; transitions only lead to a later state. */
enum RequestState {
    /** Accepted, but not yet passed to the router. */
    QUEUED,
    /** Passed to the router, which decides when and where an attempt is sent. */
    ROUTED,
    /** A part of the result was sent to the client: no other attempt and no deadline. */
    STREAMING,
    /** Has its final answer, or was abandoned by the client. */
    ANSWERED;

    /** Returns whether a request may change from this state to the given one. */
    boolean canTransitionTo(RequestState nextState) {
        return successors().contains(nextState);
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
