// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.cluster.EventLoop;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import calicostream.durable.RecoveredState;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.persistence.NopRaftStore;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The library's messages as bytes, and what a restored voter says. */
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
    void everyMessageIsTheSameAfterwards() {
        for (RaftMessage message : messages()) {
            byte[] bytes = RaftMessageCodec.encode(message);
            assertArrayEquals(bytes, RaftMessageCodec.encode(RaftMessageCodec.decode(bytes)));
            assertEquals(message.getSender(), RaftMessageCodec.decode(bytes).getSender());
        }
    }

    @Test
    void whatIsMalformedIsSaidToBeSoAndNothingElse() {
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

    @Test
    void anAppendBeginsAfterWhatTheLogHas() {
        LogTermIndex terms = new LogTermIndex();
        List<LogEntry> sent = new ArrayList<>();
        for (long index = 81; index <= 86; index++) {
            sent.add(
                    RaftMessageCodec.MODEL_FACTORY
                            .createLogEntryBuilder()
                            .setIndex(index)
                            .setTerm(index < 85 ? 1 : 2)
                            .setOperation(new byte[1])
                            .build());
        }
        var append =
                RaftMessageCodec.MODEL_FACTORY
                        .createAppendEntriesRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(TWO)
                        .setTerm(2)
                        .setPreviousLogTerm(1)
                        .setPreviousLogIndex(80)
                        .setCommitIndex(84)
                        .setLogEntries(sent)
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build();
        assertEquals(append, terms.skipKnownEntries(append, 80), "nothing of it is here");
        terms.append(sent.subList(0, 3));
        var trimmed =
                (io.microraft.model.message.AppendEntriesRequest)
                        terms.skipKnownEntries(append, 80);
        assertEquals(
                List.of(83L, 3, 84L),
                List.of(
                        trimmed.getPreviousLogIndex(),
                        trimmed.getLogEntries().size(),
                        trimmed.getLogEntries().get(0).getIndex()));
        assertEquals(9, trimmed.getFlowControlSequenceNumber());
        terms.truncateFrom(82);
        assertEquals(
                81,
                ((io.microraft.model.message.AppendEntriesRequest)
                                terms.skipKnownEntries(append, 80))
                        .getPreviousLogIndex());
        terms.truncateUntil(81);
        assertEquals(append, terms.skipKnownEntries(append, 80));
        assertEquals(
                84,
                ((io.microraft.model.message.AppendEntriesRequest)
                                terms.skipKnownEntries(append, 84))
                        .getPreviousLogIndex(),
                "what was applied is the same");
        terms.append(
                List.of(
                        RaftMessageCodec.MODEL_FACTORY
                                .createLogEntryBuilder()
                                .setIndex(80)
                                .setTerm(1)
                                .setOperation(new byte[1])
                                .build()));
        assertEquals(
                append, terms.skipKnownEntries(append, 84), "the library can compare by itself");
    }

    /** Time goes on from task to task. */
    private static final class Steps implements EventLoop {
        private record Task(long at, Runnable run) {}

        private final ArrayDeque<Runnable> now = new ArrayDeque<>();
        private final List<Task> later = new ArrayList<>();
        private long nanos;

        @Override
        public long nanoTime() {
            return nanos;
        }

        @Override
        public void execute(Runnable task) {
            now.add(task);
        }

        @Override
        public void schedule(Runnable task, long delayNanos) {
            later.add(new Task(nanos + delayNanos, task));
        }

        void until(long end) {
            while (nanos < end) {
                for (Runnable task = now.poll(); task != null; task = now.poll()) {
                    task.run();
                }
                nanos += 1_000_000;
                later.removeIf(task -> task.at <= nanos && now.add(task.run));
            }
        }
    }

    private static List<RaftMessage> asked(List<LogEntry> entries) {
        BinaryCodec.Writer self = new BinaryCodec.Writer();
        RaftLogCodec.writeVoter(self, ONE);
        var first =
                RaftMessageCodec.MODEL_FACTORY
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(0)
                        .setMembers(List.of(ONE, TWO, THREE))
                        .setVotingMembers(List.of(ONE, TWO, THREE))
                        .build();
        Map<String, byte[]> notes =
                new TreeMap<>(
                        Map.of(
                                "self",
                                self.u8(1).toByteArray(),
                                "first-voters",
                                RaftLogCodec.encodeMembers(first)));
        RecoveredState found =
                new RecoveredState(
                        2,
                        "",
                        notes,
                        null,
                        entries.stream()
                                .map(
                                        entry ->
                                                new RecoveredState.Entry(
                                                        entry.getIndex(),
                                                        entry.getTerm(),
                                                        RaftLogCodec.encodeEntry(entry)))
                                .toList(),
                        null,
                        List.of());
        List<RaftMessage> asked = new ArrayList<>();
        Steps steps = new Steps();
        VoterNode voter =
                new VoterNode(
                        new VoterNode.Settings(ONE, List.of(ONE, TWO, THREE), 50, 5, 200, 8, 100),
                        new VoterNode.Environment(
                                steps,
                                (to, frame) -> {
                                    if (MemberMessage.decode(frame)
                                            instanceof MemberMessage.RaftMessage raft) {
                                        asked.add(RaftMessageCodec.decode(raft.message()));
                                    }
                                },
                                new Random(SEED),
                                error -> {}),
                        new VoterNode.Storage(
                                new NopRaftStore(), DurableRaftStore.restoredState(found)),
                        new ReplicatedState(Map.of()),
                        Map.of());
        voter.start();
        steps.until(3_000_000_000L);
        return asked.stream()
                .filter(m -> m instanceof PreVoteRequest || m instanceof VoteRequest)
                .toList();
    }

    /**
     * Found by the simulation: it would count its own vote into a majority of those who removed it.
     */
    @Test
    void whoseLogSaysThatItWasRemovedAsksForNoVotes() {
        LogEntry before =
                RaftMessageCodec.MODEL_FACTORY
                        .createLogEntryBuilder()
                        .setIndex(1)
                        .setTerm(1)
                        .setOperation(new ReplicatedEntry.KeepAlive(4).encode())
                        .build();
        assertTrue(!asked(List.of(before)).isEmpty());
        assertEquals(List.of(), asked(List.of(before, change(2, ONE, TWO, THREE))));
    }
}
