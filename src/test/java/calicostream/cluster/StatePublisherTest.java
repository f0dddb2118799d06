// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Who is notified by the leader, and that the rate limit holds. */
class StatePublisherTest {
    private static final long SEED = 25;
    private static final int SELF = 1;
    private final ReplicatedState state = new ReplicatedState(Map.of());
    private long index;

    private long open(int member) {
        state.apply(++index, new ReplicatedEntry.OpenSession(member, 7, 1000).encode());
        return index;
    }

    private ReplicatedState.StateChange stateChange(long to, int bytes) {
        return new ReplicatedState.StateChange(
                "leases", ++index, new CommandEffects.Event("lease-acted", new byte[bytes], to));
    }

    private static List<Integer> members(List<StatePublisher.OutgoingFrame> frames) {
        return frames.stream().map(StatePublisher.OutgoingFrame::member).sorted().toList();
    }

    @Test
    void eventGoesToItsRecipientOrToAllMembers() {
        open(SELF);
        long second = open(2);
        open(3);
        open(3); // Restarted while its former session is still alive.
        StatePublisher publisher = new StatePublisher(state, SELF);
        List<ReplicatedState.StateChange> changes =
                List.of(
                        stateChange(second, 5),
                        stateChange(CommandEffects.Event.NO_MEMBER, 5),
                        stateChange(CommandEffects.Event.ALL_MEMBERS, 5));
        assertEquals(List.of(), publisher.publish(changes, false, 0));
        List<StatePublisher.OutgoingFrame> frames = publisher.publish(changes, true, 0);
        assertEquals(List.of(2, 2, 3), members(frames));
        MemberMessage.Notification first =
                (MemberMessage.Notification) MemberMessage.decode(frames.get(0).frame());
        assertEquals("leases", first.machine());
        assertEquals(changes.get(0).index(), first.index());
        assertEquals(second, first.event().recipient());
        assertArrayEquals(changes.get(0).event().body(), first.event().body());
        state.apply(++index, new ReplicatedEntry.CloseSession(second).encode());
        assertEquals(List.of(), publisher.publish(List.of(stateChange(second, 5)), true, 0));
    }

    @Test
    void framesOverTheRateLimitAreDroppedForChangingMembers() {
        Random random = new Random(SEED);
        for (int member = 1; member <= 20; member++) {
            open(member);
        }
        StatePublisher publisher = new StatePublisher(state, SELF);
        long now = random.nextLong();
        long startNanos = now;
        long sentBytes = 0;
        long expectedFrames = 0;
        Set<Integer> recipients = new HashSet<>();
        for (int i = 0; i < 2_000; i++) {
            expectedFrames += 19;
            for (StatePublisher.OutgoingFrame each :
                    publisher.publish(
                            List.of(stateChange(CommandEffects.Event.ALL_MEMBERS, 30_000)),
                            true,
                            now)) {
                sentBytes += each.frame().length;
                recipients.add(each.member());
            }
            now += random.nextInt(20_000_000);
            assertTrue(
                    sentBytes
                            <= StatePublisher.BURST_BYTES
                                    + (now - startNanos)
                                            / 1000
                                            * StatePublisher.BYTES_PER_SECOND
                                            / 1_000_000
                                    + 1,
                    "seed " + SEED);
        }
        assertEquals(expectedFrames, publisher.publishedFrames() + publisher.droppedFrames());
        assertTrue(publisher.droppedFrames() > 0);
        assertEquals(19, recipients.size());
        // Unused capacity does not accumulate beyond the burst.
        now += 3_600_000_000_000L;
        long after =
                publisher
                        .publish(
                                List.of(stateChange(CommandEffects.Event.ALL_MEMBERS, 30_000)),
                                true,
                                now)
                        .stream()
                        .mapToLong(each -> each.frame().length)
                        .sum();
        assertTrue(after > StatePublisher.BURST_BYTES / 2 && after <= StatePublisher.BURST_BYTES);
    }
}
