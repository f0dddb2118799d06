// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.EnumSet;
import java.util.Set;

/** The states of an {@link Attempt}, in the order in which it can pass them. */
enum AttemptState {
    /** The router asked for it; it has not been handed to the engine client. */
    CREATED,
    /** The engine client has it, and its end is to be reported. */
    IN_FLIGHT,
    /**
     * Cancelled; it counts as in flight until its engine has had time to receive the cancellation.
     */
    CANCELLING,
    /** Its end is known; the router is notified in turn. */
    ENDED;

    /** Whether an attempt may pass from this state to the other one. */
    boolean canBecome(AttemptState next) {
        return successors().contains(next);
    }

    private Set<AttemptState> successors() {
        return switch (this) {
            case CREATED -> EnumSet.of(IN_FLIGHT, ENDED);
            case IN_FLIGHT -> EnumSet.of(CANCELLING, ENDED);
            case CANCELLING -> EnumSet.of(ENDED);
            case ENDED -> EnumSet.noneOf(AttemptState.class);
        };
    }
}
