// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.lease.FencedResource.FencedResult;
import calicostream.lease.LeaseHolder.Phase;
import calicostream.lease.LeaseHolder.Request;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** {@link LeaseHolder}, its fenced actions, and a resource that checks their tokens. */
class LeaseHolderTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TTL_NANOS = 1000 * NANOS_PER_MILLI;
    private static final long VALID_NANOS = ClockDriftBound.STANDARD.minLocalNanos(TTL_NANOS);
    private final LeaseHolder holder = new LeaseHolder("task", TTL_NANOS, 0);
    private long now;
    private final FencedActions actions =
            new FencedActions(holder, () -> now, "lease", (machine, body, executed) -> {});

    private Request expectRequest(Class<? extends LeaseCommand> type) {
        Request request = holder.nextRequest(now);
        assertInstanceOf(type, request.command());
        assertNull(holder.nextRequest(now), "only one command may be outstanding");
        return request;
    }

    private void becomeHolder(long token) {
        holder.acquire();
        holder.onAnswer(
                now,
                expectRequest(LeaseCommand.Acquire.class).number(),
                new LeaseAnswer.Held(token));
        assertTrue(holder.mayAct(now));
    }

    @Test
    void clockDriftIsRoundedToTheSafeSide() {
        assertEquals(999_500_000, VALID_NANOS);
        assertEquals(1_000_500_000, ClockDriftBound.STANDARD.maxLocalNanos(TTL_NANOS));
        assertEquals(0, ClockDriftBound.STANDARD.minLocalNanos(1));
        assertEquals(2, ClockDriftBound.STANDARD.maxLocalNanos(1));
    }

    @Test
    void grantIsValidFromItsRequest() {
        holder.acquire();
        Request request = expectRequest(LeaseCommand.Acquire.class);
        now = 900 * NANOS_PER_MILLI;
        holder.onAnswer(now, request.number(), new LeaseAnswer.Held(4));
        assertTrue(actions.isHeld());
        now = VALID_NANOS - 1;
        assertTrue(actions.isHeld());
        now = VALID_NANOS;
        assertFalse(actions.isHeld());
    }

    /**
     * A holder that was paused for three times to live must not act: the late answer to a renewal
     * from before the pause does not restore its grant.
     */
    @Test
    void pausedHolderReleasesAndAcquiresAgain() {
        becomeHolder(4);
        now = 400 * NANOS_PER_MILLI;
        Request renewal = expectRequest(LeaseCommand.Renew.class);
        now = 3 * TTL_NANOS;
        assertInstanceOf(
                LeaseRejection.NotHeldLocally.class,
                actions.createLogCommand(new byte[0]).rejection());
        holder.onAnswer(now, renewal.number(), new LeaseAnswer.Held(4));
        assertFalse(actions.isHeld());
        Request release = expectRequest(LeaseCommand.Release.class);
        holder.onRejected(now, release.number(), new LeaseRejection.NotHolder("task", 4, 5));
        now += TTL_NANOS;
        expectRequest(LeaseCommand.Acquire.class);
    }

    @Test
    void queuedGrantIsRenewedBeforeUse() {
        holder.acquire();
        holder.onAnswer(
                now, expectRequest(LeaseCommand.Acquire.class).number(), new LeaseAnswer.Queued(3));
        now = 50 * TTL_NANOS;
        holder.onGranted(now, 9);
        assertFalse(actions.isHeld());
        Request renewal = expectRequest(LeaseCommand.Renew.class);
        now += 100 * NANOS_PER_MILLI;
        holder.onAnswer(now, renewal.number(), new LeaseAnswer.Held(9));
        assertTrue(actions.isHeld());
        now = 50 * TTL_NANOS + VALID_NANOS;
        assertFalse(actions.isHeld());
        holder.onGranted(now, 9);
        assertEquals(Phase.RELEASING, holder.phase(), "an outdated grant event must be ignored");
    }

    @Test
    void transferStopsActionsAndFallsBackToRelease() {
        becomeHolder(4);
        holder.transfer(0);
        assertFalse(actions.isHeld());
        Request transfer = expectRequest(LeaseCommand.Transfer.class);
        holder.onRejected(now, transfer.number(), new LeaseRejection.NoSuccessor("task", 0));
        Request release = expectRequest(LeaseCommand.Release.class);
        holder.onUnknownOutcome(now, release.number());
        release = expectRequest(LeaseCommand.Release.class);
        holder.onAnswer(now, release.number(), new LeaseAnswer.Done());
        assertNull(holder.nextRequest(now + TTL_NANOS));
        assertEquals(Phase.IDLE, holder.phase());
    }

    @Test
    void acquireWithUnknownOutcomeIsRepeated() {
        holder.acquire();
        Request first = expectRequest(LeaseCommand.Acquire.class);
        holder.onUnknownOutcome(now, first.number());
        Request second = expectRequest(LeaseCommand.Acquire.class);
        holder.onAnswer(now, first.number(), new LeaseAnswer.Held(4));
        assertFalse(actions.isHeld(), "the answer to an earlier command must be ignored");
        holder.onRejected(now, second.number(), new LeaseRejection.AlreadyHeld("task", 4));
        holder.onAnswer(
                now, expectRequest(LeaseCommand.Renew.class).number(), new LeaseAnswer.Held(4));
        assertTrue(actions.isHeld());
        holder.onSessionEnded(now);
        assertFalse(actions.isHeld());
    }

    /**
     * A process that is paused after its check sends its action late: the resource rejects the
     * action if it arrives after an action of the next holder.
     */
    @Test
    void resourceRejectsLateAction() {
        FencingTokenGuard guard = new FencingTokenGuard();
        List<String> executed = new ArrayList<>();
        FencedResource<String, Integer> resource =
                (lease, token, action) -> {
                    LeaseRejection rejection = guard.admit(lease, token).orElse(null);
                    if (rejection != null) {
                        return FencedResult.rejected(rejection);
                    }
                    executed.add(action);
                    return FencedResult.completed(executed.size());
                };
        becomeHolder(4);
        FencedResource<String, Integer> resourceAfterPause =
                (lease, token, action) -> {
                    resource.execute(lease, 5, "action of the next holder");
                    return resource.execute(lease, token, action);
                };
        assertEquals(1, actions.executeAt(resource, "action in time").result());
        assertEquals(
                new LeaseRejection.TokenOutdated("task", 4, 5),
                actions.executeAt(resourceAfterPause, "late action").rejection());
        assertEquals(List.of("action in time", "action of the next holder"), executed);
        assertEquals(5, guard.highestToken("task"));
    }
}
