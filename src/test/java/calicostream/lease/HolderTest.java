// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.lease.FencedResource.FencedResult;
import calicostream.lease.LeaseHolder.Ask;
import calicostream.lease.LeaseHolder.Phase;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One holder, its acts and the resource that checks them. */
class HolderTest {
    private static final long MS = 1_000_000;
    private static final long TTL = 1000 * MS;
    private static final long WITHIN = ClockDriftBound.BOUND.within(TTL);
    private final LeaseHolder holder = new LeaseHolder("task", TTL, 0);
    private long now;
    private final FencedActions acts =
            new FencedActions(holder, () -> now, "lease", (machine, body, done) -> {});

    private Ask asks(Class<? extends LeaseCommand> kind) {
        Ask ask = holder.next(now);
        assertInstanceOf(kind, ask.command());
        assertNull(holder.next(now), "one command at a time");
        return ask;
    }

    private void holds(long token) {
        holder.want();
        holder.answered(
                now, asks(LeaseCommand.Acquire.class).number(), new LeaseAnswer.Holds(token));
        assertTrue(holder.mayAct(now));
    }

    @Test
    void theDriftIsRoundedAgainstTheOneWhoCounts() {
        assertEquals(999_500_000, WITHIN);
        assertEquals(1_000_500_000, ClockDriftBound.BOUND.beyond(TTL));
        assertEquals(0, ClockDriftBound.BOUND.within(1));
        assertEquals(2, ClockDriftBound.BOUND.beyond(1));
    }

    @Test
    void itCountsFromBeforeItAsked() {
        holder.want();
        Ask ask = asks(LeaseCommand.Acquire.class);
        now = 900 * MS;
        holder.answered(now, ask.number(), new LeaseAnswer.Holds(4));
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
        Ask renewal = asks(LeaseCommand.Renew.class);
        now = 3 * TTL;
        assertInstanceOf(LeaseRejection.NotHeldHere.class, acts.inLog(new byte[0]).refused());
        holder.answered(now, renewal.number(), new LeaseAnswer.Holds(4));
        assertFalse(acts.isHeld());
        Ask release = asks(LeaseCommand.Release.class);
        holder.refused(now, release.number(), new LeaseRejection.NotHolder("task", 4, 5));
        now += TTL;
        asks(LeaseCommand.Acquire.class);
    }

    @Test
    void aGrantFromTheQueueIsRenewedBeforeItIsUsed() {
        holder.want();
        holder.answered(now, asks(LeaseCommand.Acquire.class).number(), new LeaseAnswer.Waits(3));
        now = 50 * TTL;
        holder.granted(now, 9);
        assertFalse(acts.isHeld());
        Ask renewal = asks(LeaseCommand.Renew.class);
        now += 100 * MS;
        holder.answered(now, renewal.number(), new LeaseAnswer.Holds(9));
        assertTrue(acts.isHeld());
        now = 50 * TTL + WITHIN;
        assertFalse(acts.isHeld());
        holder.granted(now, 9);
        assertEquals(Phase.ENDING, holder.phase(), "old news");
    }

    @Test
    void whoIsToStopActsNoMoreAndSaysSo() {
        holds(4);
        holder.transfer(0);
        assertFalse(acts.isHeld());
        Ask transfer = asks(LeaseCommand.Transfer.class);
        holder.refused(now, transfer.number(), new LeaseRejection.NoSuccessor("task", 0));
        Ask release = asks(LeaseCommand.Release.class);
        holder.unsure(now, release.number());
        release = asks(LeaseCommand.Release.class);
        holder.answered(now, release.number(), new LeaseAnswer.Done());
        assertNull(holder.next(now + TTL));
        assertEquals(Phase.IDLE, holder.phase());
    }

    @Test
    void anAskingWithoutAnEndIsMadeAgainAndFindsWhatItGot() {
        holder.want();
        Ask first = asks(LeaseCommand.Acquire.class);
        holder.unsure(now, first.number());
        Ask second = asks(LeaseCommand.Acquire.class);
        holder.answered(now, first.number(), new LeaseAnswer.Holds(4));
        assertFalse(acts.isHeld(), "an answer to what was given up");
        holder.refused(now, second.number(), new LeaseRejection.AlreadyHolds("task", 4));
        holder.answered(now, asks(LeaseCommand.Renew.class).number(), new LeaseAnswer.Holds(4));
        assertTrue(acts.isHeld());
        holder.sessionEnded(now);
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
                        return FencedResult.refused(refused);
                    }
                    done.add(act);
                    return FencedResult.done(done.size());
                };
        holds(4);
        FencedResource<String, Integer> afterThePause =
                (lease, token, act) -> {
                    resource.act(lease, 5, "the next holder's");
                    return resource.act(lease, token, act);
                };
        assertEquals(1, acts.at(resource, "in time").result());
        assertEquals(
                new LeaseRejection.TokenOutdated("task", 4, 5),
                acts.at(afterThePause, "too late").refused());
        assertEquals(List.of("in time", "the next holder's"), done);
        assertEquals(5, fence.highest("task"));
    }
}
