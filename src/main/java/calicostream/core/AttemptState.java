// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.EnumSet;
import java.util.Set;

/** The states of an {@link Attempt}; transitions only lead to a later state. */
enum AttemptState {
    /** Requested by the router, but not yet passed to the engine client. */
    CREATED,
    /** Passed to the engine client, which will report the outcome. */
    IN_FLIGHT,
    /**
     * Cancelled, but still counted as in flight until the engine has had time to receive the
     * cancellation.
     */
    CANCELLING,
    /** The outcome is known; the router has been or will be notified of it. */
    ENDED;

    /** Returns whether an attempt may change from this state to the given one. */
    boolean canTransitionTo(AttemptState nextState) {
        return successors().contains(nextState);
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
