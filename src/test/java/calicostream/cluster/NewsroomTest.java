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

/** Whom the leader tells what happened, and that it never tells more than it has room for. */
class NewsroomTest {
    private static final long SEED = 25;
    private static final int SELF = 1;
    private final ReplicatedState state = new ReplicatedState(Map.of());
    private long index;

    private long open(int member) {
        state.apply(++index, new ReplicatedEntry.OpenSession(member, 7, 1000).encode());
        return index;
    }

    private ReplicatedState.StateChange news(long to, int bytes) {
        return new ReplicatedState.StateChange(
                "leases", ++index, new CommandEffects.Event("lease-acted", new byte[bytes], to));
    }

    private static List<Integer> members(List<StatePublisher.OutgoingFrame> told) {
        return told.stream().map(StatePublisher.OutgoingFrame::member).sorted().toList();
    }

    @Test
    void aGrantGoesToItsHolderAndAnActToAll() {
        open(SELF);
        long second = open(2);
        open(3);
        open(3); // Started again, its former session not yet over.
        StatePublisher room = new StatePublisher(state, SELF);
        List<ReplicatedState.StateChange> news =
                List.of(
                        news(second, 5),
                        news(CommandEffects.Event.NO_MEMBER, 5),
                        news(CommandEffects.Event.ALL_MEMBERS, 5));
        assertEquals(List.of(), room.publish(news, false, 0));
        List<StatePublisher.OutgoingFrame> told = room.publish(news, true, 0);
        assertEquals(List.of(2, 2, 3), members(told));
        MemberMessage.Notification first =
                (MemberMessage.Notification) MemberMessage.decode(told.get(0).frame());
        assertEquals("leases", first.machine());
        assertEquals(news.get(0).index(), first.index());
        assertEquals(second, first.event().recipient());
        assertArrayEquals(news.get(0).event().body(), first.event().body());
        state.apply(++index, new ReplicatedEntry.CloseSession(second).encode());
        assertEquals(List.of(), room.publish(List.of(news(second, 5)), true, 0));
    }

    @Test
    void whatFindsNoRoomIsDroppedAndAnotherMemberIsTheNextToMiss() {
        Random random = new Random(SEED);
        for (int member = 1; member <= 20; member++) {
            open(member);
        }
        StatePublisher room = new StatePublisher(state, SELF);
        long now = random.nextLong();
        long began = now;
        long sent = 0;
        long asked = 0;
        Set<Integer> heard = new HashSet<>();
        for (int i = 0; i < 2_000; i++) {
            asked += 19;
            for (StatePublisher.OutgoingFrame each :
                    room.publish(
                            List.of(news(CommandEffects.Event.ALL_MEMBERS, 30_000)), true, now)) {
                sent += each.frame().length;
                heard.add(each.member());
            }
            now += random.nextInt(20_000_000);
            assertTrue(
                    sent
                            <= StatePublisher.BURST_BYTES
                                    + (now - began)
                                            / 1000
                                            * StatePublisher.BYTES_PER_SECOND
                                            / 1_000_000
                                    + 1,
                    "seed " + SEED);
        }
        assertEquals(asked, room.publishedFrames() + room.droppedFrames());
        assertTrue(room.droppedFrames() > 0);
        assertEquals(19, heard.size());
        // Room that was not used does not add up.
        now += 3_600_000_000_000L;
        long after =
                room
                        .publish(List.of(news(CommandEffects.Event.ALL_MEMBERS, 30_000)), true, now)
                        .stream()
                        .mapToLong(each -> each.frame().length)
                        .sum();
        assertTrue(after > StatePublisher.BURST_BYTES / 2 && after <= StatePublisher.BURST_BYTES);
    }
}
