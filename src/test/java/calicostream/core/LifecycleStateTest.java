// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the transitions of {@link RequestState} and {@link AttemptState}. */
class LifecycleStateTest {
    @Test
    void requestStatesMoveForwardAndStreamOnlyAfterRouting() {
        for (RequestState from : RequestState.values()) {
            for (RequestState to : RequestState.values()) {
                boolean isForward = to.ordinal() > from.ordinal();
                boolean skipsRouter = from == RequestState.QUEUED && to == RequestState.STREAMING;
                assertTrue(
                        from.canTransitionTo(to) == (isForward && !skipsRouter),
                        from + " to " + to);
            }
        }
    }

    @Test
    void attemptStatesMoveForwardAndCancelOnlyFromInFlight() {
        for (AttemptState from : AttemptState.values()) {
            for (AttemptState to : AttemptState.values()) {
                boolean isForward = to.ordinal() > from.ordinal();
                boolean skipsSend = from == AttemptState.CREATED && to == AttemptState.CANCELLING;
                assertTrue(
                        from.canTransitionTo(to) == (isForward && !skipsSend), from + " to " + to);
            }
        }
        assertFalse(AttemptState.ENDED.canTransitionTo(AttemptState.IN_FLIGHT));
    }
}
