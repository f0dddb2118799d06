// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.BinaryCodec;
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
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The messages of a voter that starts from a restored log. */
class RestoredVoterTest {
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

    /** An event loop in virtual time. */
    private static final class VirtualEventLoop implements EventLoop {
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

    private static List<RaftMessage> voteRequestsOf(List<LogEntry> entries) {
        BinaryCodec.Writer self = new BinaryCodec.Writer();
        RaftLogCodec.writeVoter(self, ONE);
        var first =
                RaftMessageCodec.MODEL_FACTORY
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(0)
                        .setMembers(List.of(ONE, TWO, THREE))
                        .setVotingMembers(List.of(ONE, TWO, THREE))
                        .build();
        Map<String, byte[]> metadata =
                new TreeMap<>(
                        Map.of(
                                "self",
                                self.u8(1).toByteArray(),
                                "first-voters",
                                RaftLogCodec.encodeMembers(first)));
        RecoveredState recovered =
                new RecoveredState(
                        2,
                        "",
                        metadata,
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
        List<RaftMessage> sent = new ArrayList<>();
        VirtualEventLoop eventLoop = new VirtualEventLoop();
        VoterNode voter =
                new VoterNode(
                        new VoterNode.Settings(ONE, List.of(ONE, TWO, THREE), 50, 5, 200, 8, 100),
                        new VoterNode.Environment(
                                eventLoop,
                                (to, frame) -> {
                                    if (MemberMessage.decode(frame)
                                            instanceof MemberMessage.RaftMessage raft) {
                                        sent.add(RaftMessageCodec.decode(raft.message()));
                                    }
                                },
                                new Random(SEED),
                                error -> {}),
                        new VoterNode.Storage(
                                new NopRaftStore(), DurableRaftStore.restoredState(recovered)),
                        new ReplicatedState(Map.of()),
                        Map.of());
        voter.start();
        eventLoop.until(3_000_000_000L);
        return sent.stream()
                .filter(m -> m instanceof PreVoteRequest || m instanceof VoteRequest)
                .toList();
    }

    /**
     * Found by the simulation: it would count its own vote towards a majority of those that removed
     * it.
     */
    @Test
    void voterWhoseLogSaysThatItWasRemovedRequestsNoVotes() {
        LogEntry before =
                RaftMessageCodec.MODEL_FACTORY
                        .createLogEntryBuilder()
                        .setIndex(1)
                        .setTerm(1)
                        .setOperation(new ReplicatedEntry.KeepAlive(4).encode())
                        .build();
        assertTrue(!voteRequestsOf(List.of(before)).isEmpty());
        assertEquals(List.of(), voteRequestsOf(List.of(before, change(2, ONE, TWO, THREE))));
    }
}
