// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.EventLoop;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.ReplicatedState;
import io.microraft.RaftEndpoint;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import io.microraft.persistence.NopRaftStore;
import io.microraft.report.RaftTerm;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One voter with the consensus library, whose peers are the test. */
class LeaderHeartbeatTimeoutTest {
    private static final int HEARTBEAT_MILLIS = 50;
    private static final Voter SELF = new Voter(1, 0);
    private static final Voter LEADER = new Voter(2, 0);

    private record Event(long at, long order, Runnable task) {}

    /** An event loop in virtual time. */
    private static final class VirtualEventLoop implements EventLoop {
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        private long now;
        private long order;

        @Override
        public long nanoTime() {
            return now;
        }

        @Override
        public void execute(Runnable task) {
            schedule(task, 0);
        }

        @Override
        public void schedule(Runnable task, long delayNanos) {
            events.add(new Event(now + delayNanos, order++, task));
        }

        void advanceHeartbeats(int heartbeats) {
            long end = now + heartbeats * HEARTBEAT_MILLIS * 1_000_000L;
            while (!events.isEmpty() && events.peek().at <= end) {
                Event event = events.poll();
                now = event.at;
                event.task.run();
            }
            now = end;
        }
    }

    private final VirtualEventLoop eventLoop = new VirtualEventLoop();
    private final List<RaftMessage> sent = new ArrayList<>();
    private VoterNode voter;

    @BeforeEach
    void start() {
        System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off");
        voter =
                new VoterNode(
                        new VoterNode.Settings(
                                SELF,
                                List.of(SELF, LEADER, new Voter(3, 0)),
                                HEARTBEAT_MILLIS,
                                5,
                                200,
                                16,
                                100),
                        new VoterNode.Environment(
                                eventLoop,
                                (to, frame) -> {
                                    if (MemberMessage.decode(frame)
                                            instanceof MemberMessage.RaftMessage raft) {
                                        sent.add(RaftMessageCodec.decode(raft.message()));
                                    }
                                },
                                new Random(1),
                                reason -> {}),
                        new VoterNode.Storage(new NopRaftStore(), Optional.empty()),
                        new ReplicatedState(Map.of()),
                        Map.of());
        voter.start();
    }

    private void receive(RaftMessage message) {
        receive(message, SELF.generation());
    }

    private void receive(RaftMessage message, int generation) {
        voter.onFrame(
                LEADER.member(),
                new MemberMessage.RaftMessage(generation, RaftMessageCodec.encode(message))
                        .encode());
        eventLoop.advanceHeartbeats(0);
    }

    private static VoteRequest voteRequest() {
        return RaftMessageCodec.MODEL_FACTORY
                .createVoteRequestBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(LEADER)
                .setTerm(1)
                .setLastLogTerm(0)
                .setLastLogIndex(0)
                .setSticky(false)
                .build();
    }

    private static AppendEntriesRequest heartbeat() {
        return RaftMessageCodec.MODEL_FACTORY
                .createAppendEntriesRequestBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(LEADER)
                .setTerm(1)
                .setPreviousLogTerm(0)
                .setPreviousLogIndex(0)
                .setCommitIndex(0)
                .setLogEntries(List.of())
                .setQuerySequenceNumber(0)
                .setFlowControlSequenceNumber(0)
                .build();
    }

    /**
     * Found by the simulation: the open pre-vote kept the library from ever suspecting this leader.
     */
    @Test
    void silentLeaderWhoseFirstMessageOvertookAPreVoteIsAbandoned() {
        receive(voteRequest());
        eventLoop.advanceHeartbeats(10);
        assertTrue(sent.get(sent.size() - 1) instanceof PreVoteRequest, sent::toString);
        receive(heartbeat());
        assertEquals(LEADER.member(), voter.leader());
        sent.clear();
        eventLoop.advanceHeartbeats(60);
        assertEquals(0, voter.leader());
        assertTrue(sent.stream().anyMatch(PreVoteRequest.class::isInstance), sent::toString);
    }

    @Test
    void leaderThatSendsHeartbeatsIsKept() {
        receive(voteRequest());
        eventLoop.advanceHeartbeats(10);
        for (int i = 0; i < 40; i++) {
            receive(heartbeat());
            eventLoop.advanceHeartbeats(3);
        }
        assertEquals(LEADER.member(), voter.leader());
        assertEquals(1, voter.term());
    }

    /**
     * Found by the simulation: a voter that lost state received messages to its former generation,
     * also its own ones.
     */
    @Test
    void messageToAnotherGenerationIsNotAnswered() {
        receive(voteRequest(), SELF.generation() + 1);
        assertEquals(0, voter.term());
        assertTrue(sent.stream().noneMatch(VoteResponse.class::isInstance), sent::toString);
        receive(voteRequest());
        assertEquals(1, voter.term());
        assertTrue(sent.stream().anyMatch(VoteResponse.class::isInstance), sent::toString);
    }

    /** Vote requests, of whatever term, are no sign of a leader. */
    @Test
    void onlyMessagesOfALeaderCount() {
        LeaderHeartbeatTimeout timeout = new LeaderHeartbeatTimeout(SELF, 3);
        List<Boolean> due = new ArrayList<>();
        for (RaftMessage message :
                List.of(heartbeat(), heartbeat(), heartbeat(), voteRequest(), voteRequest())) {
            timeout.onMessage(message);
            due.add(timeout.onHeartbeat(voterTerm()).isPresent());
        }
        assertEquals(List.of(false, false, false, false, true), due);
    }

    private static RaftTerm voterTerm() {
        return new RaftTerm() {
            @Override
            public int getTerm() {
                return 1;
            }

            @Override
            public RaftEndpoint getLeaderEndpoint() {
                return LEADER;
            }

            @Override
            public RaftEndpoint getVotedEndpoint() {
                return LEADER;
            }
        };
    }
}
