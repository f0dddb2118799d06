// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.ClusterException;
import calicostream.durable.StateLossDetector.LocalState;
import calicostream.durable.StateLossDetector.PeerObservation;
import calicostream.durable.StateLossDetector.StateLoss;
import calicostream.durable.StateLossDetector.VotingStatus;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a voter concludes from its peers' answers on its former incarnations. */
class VoterRecoveryHandshakeTest {
    private static final int PATIENCE_HEARTBEATS = FakeVoterGroup.PATIENCE_HEARTBEATS;
    private final FakeVoterGroup group = new FakeVoterGroup();

    private static LocalState admitted(long incarnation, long term, long last) {
        return new LocalState(
                incarnation, term, "", last, VotingStatus.ADMITTED, StateLoss.NONE, "");
    }

    private static LocalState newDisk() {
        return new LocalState(1, 0, "", 0, VotingStatus.NEW, StateLoss.NONE, "");
    }

    /** Starts three voters that have run before and know each other at incarnation 4. */
    private void startRunningGroup() throws IOException {
        for (int member = 1; member <= 3; member++) {
            group.start(member, admitted(4, 7, 100));
        }
        group.rounds(2, 1, 2, 3);
    }

    @Test
    void groupStartsOnceAllInitialVotersHaveAnsweredEachOther() throws IOException {
        for (int member = 1; member <= 3; member++) {
            group.start(member, newDisk());
        }
        group.rounds(20, 1, 2);
        assertEquals(VoterRecoveryHandshake.State.WAITING_FOR_PEERS, group.state(1));
        group.rounds(PATIENCE_HEARTBEATS, 1, 2, 3);
        for (int member = 1; member <= 3; member++) {
            assertEquals(VoterRecoveryHandshake.State.VOTER, group.state(member));
            assertEquals(1, group.get(member).admissions());
        }
    }

    @Test
    void completeVoterWaitsForAllBoundedAndForAMajorityUnbounded() throws IOException {
        startRunningGroup();
        group.start(3, admitted(5, 7, 100));
        group.rounds(1, 3, 2);
        assertEquals(
                VoterRecoveryHandshake.State.WAITING_FOR_PEERS,
                group.state(3),
                "one has not answered");
        group.rounds(PATIENCE_HEARTBEATS, 3, 2);
        assertEquals(VoterRecoveryHandshake.State.VOTER, group.state(3));
        group.start(3, admitted(6, 7, 100));
        group.rounds(10 * PATIENCE_HEARTBEATS, 3);
        assertEquals(VoterRecoveryHandshake.State.WAITING_FOR_PEERS, group.state(3));
        assertNull(group.get(3).handshake().error());
    }

    @Test
    void peersDetectEmptyFoldersAndOlderCopiesEvenAfterTheirRestart() throws IOException {
        startRunningGroup();
        group.start(1, admitted(5, 7, 100));
        group.start(2, admitted(5, 7, 100));
        for (LocalState own : List.of(newDisk(), admitted(4, 7, 100), admitted(3, 6, 90))) {
            FakeVoterGroup.VoterProcess three = group.start(3, own);
            group.rounds(1, 3, 1);
            assertEquals(VoterRecoveryHandshake.State.STATE_LOST, group.state(3));
            assertTrue(three.barredReason().contains("incarnation"), three.barredReason());
            assertTrue(
                    three.handshake().error() instanceof ClusterException.VoterStateLost,
                    three.handshake().reason());
            assertFalse(three.handshake().mayStart());
        }
    }

    /**
     * Log and marks of one instant agree with each other and with the incarnations: only what peers
     * were told since speaks against them.
     */
    @Test
    void peersDetectLogAndMarkersRestoredFromOneInstant() throws IOException {
        startRunningGroup();
        group.get(1)
                .handshake()
                .onRaftMessage(
                        RaftMessageCodec.MODEL_FACTORY
                                .createAppendEntriesSuccessResponseBuilder()
                                .setGroupId(RaftMessageCodec.GROUP_ID)
                                .setSender(new Voter(3, 0))
                                .setTerm(7)
                                .setLastLogIndex(120)
                                .build());
        group.start(3, admitted(5, 7, 100));
        group.rounds(1, 3, 2);
        assertEquals(
                VoterRecoveryHandshake.State.WAITING_FOR_PEERS,
                group.state(3),
                "the one that was acknowledged is waited for");
        group.rounds(1, 3, 1, 2);
        assertEquals(VoterRecoveryHandshake.State.STATE_LOST, group.state(3));
        assertTrue(
                group.get(3).barredReason().contains("acknowledged 120"),
                group.get(3).barredReason());
    }

    @Test
    void receiverOfALostVoteDetectsTheLoss() throws IOException {
        startRunningGroup();
        group.get(2)
                .handshake()
                .onRaftMessage(
                        RaftMessageCodec.MODEL_FACTORY
                                .createVoteResponseBuilder()
                                .setGroupId(RaftMessageCodec.GROUP_ID)
                                .setSender(new Voter(3, 0))
                                .setTerm(8)
                                .setGranted(true)
                                .build());
        group.start(3, admitted(5, 7, 100));
        group.rounds(1, 3, 1, 2);
        assertEquals(VoterRecoveryHandshake.State.STATE_LOST, group.state(3));
    }

    @Test
    void joiningVoterFollowsAndIsAdmittedOncePromoted() throws IOException {
        startRunningGroup();
        FakeVoterGroup.VoterProcess four = group.join(4, newDisk());
        group.rounds(2, 4, 1, 2, 3);
        assertEquals(VoterRecoveryHandshake.State.LEARNER, group.state(4));
        assertEquals(0, four.admissions());
        four.handshake().onCommittedVoter();
        four.handshake().onCommittedVoter();
        assertEquals(1, four.admissions());
    }

    @Test
    void lateFramesOfAFormerIncarnationChangeNothing() {
        PeerRecoveryState memory = new PeerRecoveryState();
        Voter one = new Voter(1, 0);
        assertEquals(PeerObservation.NONE, memory.recordIncarnation(one, 5, 50, false));
        assertEquals(5, memory.recordIncarnation(one, 6, 60, true).incarnation());
        assertEquals(6, memory.recordIncarnation(one, 5, 50, true).incarnation(), "it is over");
        assertEquals(
                5, memory.recordIncarnation(one, 6, 60, true).incarnation(), "the same as before");
        assertEquals(
                6,
                memory.recordIncarnation(one, 6, 61, true).incarnation(),
                "another process of this incarnation");
        PeerRecoveryState kept = PeerRecoveryState.decode(memory.encode());
        assertEquals(5, kept.recordIncarnation(one, 6, 60, true).incarnation());
        assertEquals(6, kept.recordIncarnation(one, 7, 70, true).incarnation());
    }
}
