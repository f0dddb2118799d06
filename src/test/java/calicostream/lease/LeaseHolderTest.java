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

/** One holder, its acts and the resource that checks them. */
class LeaseHolderTest {
    private static final long MS = 1_000_000;
    private static final long TTL = 1000 * MS;
    private static final long WITHIN = ClockDriftBound.STANDARD.shortestSpan(TTL);
    private final LeaseHolder holder = new LeaseHolder("task", TTL, 0);
    private long now;
    private final FencedActions acts =
            new FencedActions(holder, () -> now, "lease", (machine, body, done) -> {});

    private Request asks(Class<? extends LeaseCommand> kind) {
        Request ask = holder.nextRequest(now);
        assertInstanceOf(kind, ask.command());
        assertNull(holder.nextRequest(now), "one command at a time");
        return ask;
    }

    private void holds(long token) {
        holder.acquire();
        holder.onAnswer(
                now, asks(LeaseCommand.Acquire.class).number(), new LeaseAnswer.Held(token));
        assertTrue(holder.mayAct(now));
    }

    @Test
    void theDriftIsRoundedAgainstTheOneWhoCounts() {
        assertEquals(999_500_000, WITHIN);
        assertEquals(1_000_500_000, ClockDriftBound.STANDARD.longestSpan(TTL));
        assertEquals(0, ClockDriftBound.STANDARD.shortestSpan(1));
        assertEquals(2, ClockDriftBound.STANDARD.longestSpan(1));
    }

    @Test
    void itCountsFromBeforeItAsked() {
        holder.acquire();
        Request ask = asks(LeaseCommand.Acquire.class);
        now = 900 * MS;
        holder.onAnswer(now, ask.number(), new LeaseAnswer.Held(4));
        assertTrue(acts.isHeld());
        now = WITHIN - 1;
        assertTrue(acts.isHeld());
        now = WITHIN;
        assertFalse(acts.isHeld());
    }

    /**
     * Stopped for three times its lease: the renewal that was out comes back and does not bring it
     * back to life.
     */
    @Test
    void whoWasStoppedStopsAndAsksAnew() {
        holds(4);
        now = 400 * MS;
        Request renewal = asks(LeaseCommand.Renew.class);
        now = 3 * TTL;
        assertInstanceOf(
                LeaseRejection.NotHeldLocally.class,
                acts.createLogCommand(new byte[0]).rejection());
        holder.onAnswer(now, renewal.number(), new LeaseAnswer.Held(4));
        assertFalse(acts.isHeld());
        Request release = asks(LeaseCommand.Release.class);
        holder.onRejected(now, release.number(), new LeaseRejection.NotHolder("task", 4, 5));
        now += TTL;
        asks(LeaseCommand.Acquire.class);
    }

    @Test
    void aGrantFromTheQueueIsRenewedBeforeItIsUsed() {
        holder.acquire();
        holder.onAnswer(now, asks(LeaseCommand.Acquire.class).number(), new LeaseAnswer.Queued(3));
        now = 50 * TTL;
        holder.onGranted(now, 9);
        assertFalse(acts.isHeld());
        Request renewal = asks(LeaseCommand.Renew.class);
        now += 100 * MS;
        holder.onAnswer(now, renewal.number(), new LeaseAnswer.Held(9));
        assertTrue(acts.isHeld());
        now = 50 * TTL + WITHIN;
        assertFalse(acts.isHeld());
        holder.onGranted(now, 9);
        assertEquals(Phase.RELEASING, holder.phase(), "old news");
    }

    @Test
    void whoIsToStopActsNoMoreAndSaysSo() {
        holds(4);
        holder.transfer(0);
        assertFalse(acts.isHeld());
        Request transfer = asks(LeaseCommand.Transfer.class);
        holder.onRejected(now, transfer.number(), new LeaseRejection.NoSuccessor("task", 0));
        Request release = asks(LeaseCommand.Release.class);
        holder.onUnknownOutcome(now, release.number());
        release = asks(LeaseCommand.Release.class);
        holder.onAnswer(now, release.number(), new LeaseAnswer.Done());
        assertNull(holder.nextRequest(now + TTL));
        assertEquals(Phase.IDLE, holder.phase());
    }

    @Test
    void anAskingWithoutAnEndIsMadeAgainAndFindsWhatItGot() {
        holder.acquire();
        Request first = asks(LeaseCommand.Acquire.class);
        holder.onUnknownOutcome(now, first.number());
        Request second = asks(LeaseCommand.Acquire.class);
        holder.onAnswer(now, first.number(), new LeaseAnswer.Held(4));
        assertFalse(acts.isHeld(), "an answer to what was given up");
        holder.onRejected(now, second.number(), new LeaseRejection.AlreadyHeld("task", 4));
        holder.onAnswer(now, asks(LeaseCommand.Renew.class).number(), new LeaseAnswer.Held(4));
        assertTrue(acts.isHeld());
        holder.onSessionEnded(now);
        assertFalse(acts.isHeld());
    }

    /**
     * The check passes, then the process is stopped: the resource refuses what arrives after the
     * next holder's act.
     */
    @Test
    void theResourceRefusesTheActThatCameTooLate() {
        FencingTokenGuard fence = new FencingTokenGuard();
        List<String> done = new ArrayList<>();
        FencedResource<String, Integer> resource =
                (lease, token, act) -> {
                    LeaseRejection refused = fence.admit(lease, token).orElse(null);
                    if (refused != null) {
                        return FencedResult.rejected(refused);
                    }
                    done.add(act);
                    return FencedResult.completed(done.size());
                };
        holds(4);
        FencedResource<String, Integer> afterThePause =
                (lease, token, act) -> {
                    resource.execute(lease, 5, "the next holder's");
                    return resource.execute(lease, token, act);
                };
        assertEquals(1, acts.executeAt(resource, "in time").result());
        assertEquals(
                new LeaseRejection.TokenOutdated("task", 4, 5),
                acts.executeAt(afterThePause, "too late").rejection());
        assertEquals(List.of("in time", "the next holder's"), done);
        assertEquals(5, fence.highestToken("task"));
    }
}
