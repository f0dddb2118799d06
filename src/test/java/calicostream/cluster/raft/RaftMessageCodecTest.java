// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.ClusterException;
import calicostream.cluster.ReplicatedEntry;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.RaftMessage;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of the library's messages. */
class RaftMessageCodecTest {
    private static final long SEED = 7;
    private static final Voter ONE = new Voter(1, 0);
    private static final Voter TWO = new Voter(2, 3);
    private static final Voter THREE = new Voter(3, 0);

    private static LogEntry change(long index, Voter removed, Voter... left) {
        List<RaftEndpoint> rest = List.of(left);
        return RaftMessageCodec.MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(2)
                .setOperation(
                        RaftMessageCodec.MODEL_FACTORY
                                .createUpdateRaftGroupMembersOpBuilder()
                                .setMembers(rest)
                                .setVotingMembers(rest)
                                .setEndpoint(removed)
                                .setMode(MembershipChangeMode.REMOVE_MEMBER)
                                .build())
                .build();
    }

    private static List<RaftMessage> messages() {
        var view =
                RaftMessageCodec.MODEL_FACTORY
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(5)
                        .setMembers(List.of(ONE, TWO, THREE))
                        .setVotingMembers(List.of(ONE, TWO))
                        .build();
        var chunk =
                RaftMessageCodec.MODEL_FACTORY
                        .createSnapshotChunkBuilder()
                        .setIndex(9)
                        .setTerm(2)
                        .setSnapshotChunkIndex(0)
                        .setSnapshotChunkCount(1)
                        .setGroupMembersView(view)
                        .setOperation(new byte[] {1, 2})
                        .build();
        var plain =
                RaftMessageCodec.MODEL_FACTORY
                        .createLogEntryBuilder()
                        .setIndex(3)
                        .setTerm(1)
                        .setOperation(new ReplicatedEntry.KeepAlive(4).encode())
                        .build();
        return List.of(
                RaftMessageCodec.MODEL_FACTORY
                        .createAppendEntriesRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(TWO)
                        .setTerm(2)
                        .setPreviousLogTerm(1)
                        .setPreviousLogIndex(2)
                        .setCommitIndex(1)
                        .setLogEntries(List.of(plain, change(4, ONE, TWO, THREE)))
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build(),
                RaftMessageCodec.MODEL_FACTORY
                        .createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(ONE)
                        .setTerm(2)
                        .setLastLogIndex(4)
                        .setQuerySequenceNumber(5)
                        .setFlowControlSequenceNumber(6)
                        .build(),
                RaftMessageCodec.MODEL_FACTORY
                        .createAppendEntriesFailureResponseBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(ONE)
                        .setTerm(2)
                        .setExpectedNextIndex(4)
                        .setQuerySequenceNumber(5)
                        .setFlowControlSequenceNumber(6)
                        .build(),
                RaftMessageCodec.MODEL_FACTORY
                        .createInstallSnapshotRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(ONE)
                        .setTerm(2)
                        .setSenderLeader(true)
                        .setSnapshotTerm(2)
                        .setSnapshotIndex(9)
                        .setTotalSnapshotChunkCount(1)
                        .setSnapshotChunk(chunk)
                        .setSnapshottedMembers(List.of(ONE))
                        .setGroupMembersView(view)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                RaftMessageCodec.MODEL_FACTORY
                        .createInstallSnapshotResponseBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(ONE)
                        .setTerm(2)
                        .setSnapshotIndex(9)
                        .setRequestedSnapshotChunkIndex(3)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                RaftMessageCodec.MODEL_FACTORY
                        .createPreVoteRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(ONE)
                        .setTerm(2)
                        .setLastLogTerm(1)
                        .setLastLogIndex(8)
                        .build(),
                RaftMessageCodec.MODEL_FACTORY
                        .createPreVoteResponseBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(ONE)
                        .setTerm(2)
                        .setGranted(true)
                        .build(),
                RaftMessageCodec.MODEL_FACTORY
                        .createVoteRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(ONE)
                        .setTerm(2)
                        .setLastLogTerm(1)
                        .setLastLogIndex(8)
                        .setSticky(true)
                        .build(),
                RaftMessageCodec.MODEL_FACTORY
                        .createVoteResponseBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(ONE)
                        .setTerm(2)
                        .setGranted(false)
                        .build(),
                RaftMessageCodec.MODEL_FACTORY
                        .createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(ONE)
                        .setTerm(2)
                        .setLastLogTerm(1)
                        .setLastLogIndex(8)
                        .build());
    }

    @Test
    void everyMessageSurvivesEncoding() {
        for (RaftMessage message : messages()) {
            byte[] bytes = RaftMessageCodec.encode(message);
            assertArrayEquals(bytes, RaftMessageCodec.encode(RaftMessageCodec.decode(bytes)));
            assertEquals(message.getSender(), RaftMessageCodec.decode(bytes).getSender());
        }
    }

    @Test
    void malformedBytesThrowMalformedOnly() {
        Random random = new Random(SEED);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = RaftMessageCodec.encode(messages().get(i % 10));
            if (random.nextBoolean()) {
                bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 4));
            }
            if (bytes.length > 0) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            try {
                RaftMessageCodec.decode(bytes);
            } catch (ClusterException.Malformed e) {
                assertTrue(
                        e.getMessage().startsWith(ClusterException.Malformed.CODE), "seed " + SEED);
            }
        }
    }
}
