// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.ClusterException;
import calicostream.cluster.Frame;
import calicostream.durable.Amnesia.Doubt;
import calicostream.durable.Amnesia.Own;
import calicostream.durable.Amnesia.Seen;
import calicostream.durable.Amnesia.Standing;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Voters that ask each other before their first word; frames are handed over by hand. */
class RecallTest {
    private static final int PATIENCE = 4;
    private static final List<Voter> FIRST = List.of(new Voter(1, 0), new Voter(2, 0), new Voter(3, 0));

    /** A voter's process and what it kept. */
    private final class Side implements Recall.Keeper {
        private final Recall recall;
        private final boolean grouped;
        private byte[] memory;
        private String barred = "";
        private int admissions;

        Side(Voter self, Own own, byte[] memory, boolean grouped) {
            this.grouped = grouped;
            this.memory = memory;
            recall = new Recall(self, FIRST, FIRST, own, memory, ++nonces, PATIENCE, this);
        }

        @Override
        public void memory(byte[] bytes) {
            memory = bytes;
        }

        @Override
        public void bar(String why) {
            barred = why;
        }

        @Override
        public void admit() {
            admissions++;
        }
    }

    private long nonces;
    private final Map<Integer, Side> sides = new TreeMap<>();

    private static Own admitted(long incarnation, long term, long last) {
        return new Own(incarnation, term, "", last, Standing.ADMITTED, Doubt.NONE, "");
    }

    private static Own blank() {
        return new Own(1, 0, "", 0, Standing.FRESH, Doubt.NONE, "");
    }

    private Side start(int member, Own own) {
        Side before = sides.get(member);
        sides.put(member, new Side(new Voter(member, 0), own, before == null ? null : before.memory, own.lastIndex() > 0));
        return sides.get(member);
    }

    /** Beats at all, with all answers, for some rounds; who is not among {@code up} hears nothing. */
    private void rounds(int rounds, Integer... up) throws IOException {
        List<Integer> there = List.of(up);
        for (int i = 0; i < rounds; i++) {
            for (int member : there) {
                List<Recall.Send> asks = new ArrayList<>(sides.get(member).recall.beat());
                for (Recall.Send ask : asks) {
                    if (there.contains(ask.member())) {
                        Side peer = sides.get(ask.member());
                        for (Recall.Send told : peer.recall.received(member, (Frame.Recall) Frame.decode(ask.frame()), peer.grouped)) {
                            sides.get(member).recall.received(ask.member(), (Frame.Recalled) Frame.decode(told.frame()), sides.get(member).grouped);
                        }
                    }
                }
            }
        }
    }

    private Recall.State state(int member) {
        return sides.get(member).recall.state();
    }

    /** Three that have run before and know each other at incarnation 4. */
    private void running() throws IOException {
        for (int member = 1; member <= 3; member++) {
            start(member, admitted(4, 7, 100));
        }
        rounds(2, 1, 2, 3);
    }

    @Test
    void aGroupBeginsOnceAllItsFirstVotersHaveHeardOfEachOther() throws IOException {
        for (int member = 1; member <= 3; member++) {
            start(member, blank());
        }
        rounds(20, 1, 2);
        assertEquals(Recall.State.ASKING, state(1));
        rounds(PATIENCE, 1, 2, 3);
        for (int member = 1; member <= 3; member++) {
            assertEquals(Recall.State.VOTES, state(member));
            assertEquals(1, sides.get(member).admissions);
        }
    }

    @Test
    void aSoundVoterWaitsForAllForAWhileAndForAMajorityWithoutEnd() throws IOException {
        running();
        start(3, admitted(5, 7, 100));
        rounds(1, 3, 2);
        assertEquals(Recall.State.ASKING, state(3), "one has not answered");
        rounds(PATIENCE, 3, 2);
        assertEquals(Recall.State.VOTES, state(3));
        start(3, admitted(6, 7, 100));
        rounds(10 * PATIENCE, 3);
        assertEquals(Recall.State.ASKING, state(3));
        assertNull(sides.get(3).recall.error());
    }

    @Test
    void emptyFoldersAndOlderCopiesAreToldByWhoMetThemEvenAfterARestart() throws IOException {
        running();
        start(1, admitted(5, 7, 100));
        start(2, admitted(5, 7, 100));
        for (Own own : List.of(blank(), admitted(4, 7, 100), admitted(3, 6, 90))) {
            Side three = start(3, own);
            rounds(1, 3, 1);
            assertEquals(Recall.State.FORGOT, state(3));
            assertTrue(three.barred.contains("incarnation"), three.barred);
            assertTrue(three.recall.error() instanceof ClusterException.VoterForgot, three.recall.reason());
            assertFalse(three.recall.mayBegin());
        }
    }

    /** Log and marks of one instant agree with each other and with the incarnations: only what peers were told since speaks against them. */
    @Test
    void twoFoldersOfOneInstantAreToldByPeersAlone() throws IOException {
        running();
        sides.get(1).recall.heard(Codec.MODEL.createAppendEntriesSuccessResponseBuilder().setGroupId(Codec.GROUP).setSender(new Voter(3, 0))
                .setTerm(7).setLastLogIndex(120).build());
        start(3, admitted(5, 7, 100));
        rounds(1, 3, 2);
        assertEquals(Recall.State.ASKING, state(3), "the one that was acknowledged is waited for");
        rounds(1, 3, 1, 2);
        assertEquals(Recall.State.FORGOT, state(3));
        assertTrue(sides.get(3).barred.contains("acknowledged 120"), sides.get(3).barred);
    }

    @Test
    void aVoteThatIsGoneIsToldByWhoGotIt() throws IOException {
        running();
        sides.get(2).recall.heard(Codec.MODEL.createVoteResponseBuilder().setGroupId(Codec.GROUP).setSender(new Voter(3, 0)).setTerm(8)
                .setGranted(true).build());
        start(3, admitted(5, 7, 100));
        rounds(1, 3, 1, 2);
        assertEquals(Recall.State.FORGOT, state(3));
    }

    @Test
    void whoJoinsFollowsAndCountsOnceItWasPromoted() throws IOException {
        running();
        Side four = new Side(new Voter(4, 0), blank(), null, false);
        sides.put(4, four);
        rounds(2, 4, 1, 2, 3);
        assertEquals(Recall.State.LEARNS, state(4));
        assertEquals(0, four.admissions);
        four.recall.isVoter();
        four.recall.isVoter();
        assertEquals(1, four.admissions);
    }

    @Test
    void framesOfAFormerIncarnationThatComeLateChangeNothing() {
        PeerMemory memory = new PeerMemory();
        Voter one = new Voter(1, 0);
        assertEquals(Seen.NOTHING, memory.met(one, 5, 50, false));
        assertEquals(5, memory.met(one, 6, 60, true).incarnation());
        assertEquals(6, memory.met(one, 5, 50, true).incarnation(), "it is over");
        assertEquals(5, memory.met(one, 6, 60, true).incarnation(), "the same as before");
        assertEquals(6, memory.met(one, 6, 61, true).incarnation(), "another process of this incarnation");
        PeerMemory kept = PeerMemory.read(memory.write());
        assertEquals(5, kept.met(one, 6, 60, true).incarnation());
        assertEquals(6, kept.met(one, 7, 70, true).incarnation());
    }
}
