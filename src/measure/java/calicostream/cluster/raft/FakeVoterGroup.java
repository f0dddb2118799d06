// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.MemberMessage;
import calicostream.durable.StateLossDetector.LocalState;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A group of voters in their recovery handshake whose frames are delivered by hand, for tests. One
 * thread.
 */
final class FakeVoterGroup {
    static final int PATIENCE_HEARTBEATS = 4;
    private static final List<Voter> INITIAL_VOTERS =
            List.of(new Voter(1, 0), new Voter(2, 0), new Voter(3, 0));

    /** A process of a voter with what it made durable. */
    final class VoterProcess implements VoterRecoveryHandshake.RecoveryStore {
        private final VoterRecoveryHandshake handshake;
        private final boolean hasCommittedState;
        private byte[] peerState;
        private String barredReason = "";
        private int admissions;

        private VoterProcess(
                Voter self, LocalState localState, byte[] peerState, boolean hasCommittedState) {
            this.hasCommittedState = hasCommittedState;
            this.peerState = peerState;
            nonces++;
            handshake =
                    new VoterRecoveryHandshake(
                            new VoterRecoveryHandshake.Settings(
                                    self, INITIAL_VOTERS, nonces, PATIENCE_HEARTBEATS),
                            INITIAL_VOTERS,
                            localState,
                            peerState,
                            this);
        }

        VoterRecoveryHandshake handshake() {
            return handshake;
        }

        String barredReason() {
            return barredReason;
        }

        int admissions() {
            return admissions;
        }

        @Override
        public void savePeerState(byte[] bytes) {
            peerState = bytes;
        }

        @Override
        public void bar(String reason) {
            barredReason = reason;
        }

        @Override
        public void admit() {
            admissions++;
        }
    }

    private final Map<Integer, VoterProcess> processes = new TreeMap<>();
    private long nonces;

    /** Starts a voter, or restarts it with what it saved of its peers. */
    VoterProcess start(int member, LocalState localState) {
        VoterProcess before = processes.get(member);
        byte[] peerState = before == null ? null : before.peerState;
        return start(member, localState, peerState, localState.lastIndex() > 0);
    }

    /** Starts a voter that is none of the initial ones and has saved nothing. */
    VoterProcess join(int member, LocalState localState) {
        return start(member, localState, null, false);
    }

    private VoterProcess start(
            int member, LocalState localState, byte[] peerState, boolean hasCommittedState) {
        VoterProcess process =
                new VoterProcess(new Voter(member, 0), localState, peerState, hasCommittedState);
        processes.put(member, process);
        return process;
    }

    /** Heartbeats of the running members, with all answers; the others receive nothing. */
    void rounds(int rounds, Integer... running) throws IOException {
        List<Integer> members = List.of(running);
        for (int round = 0; round < rounds; round++) {
            for (int member : members) {
                heartbeat(member, members);
            }
        }
    }

    private void heartbeat(int member, List<Integer> running) throws IOException {
        for (var request : processes.get(member).handshake.onHeartbeat()) {
            if (running.contains(request.member())) {
                deliver(member, request);
            }
        }
    }

    private void deliver(int from, VoterRecoveryHandshake.OutgoingFrame request)
            throws IOException {
        VoterProcess asker = processes.get(from);
        VoterProcess peer = processes.get(request.member());
        var recall = (MemberMessage.RecoveryRequest) MemberMessage.decode(request.frame());
        var answer = peer.handshake.onRequest(from, recall, peer.hasCommittedState);
        var recalled = (MemberMessage.RecoveryResponse) MemberMessage.decode(answer.frame());
        asker.handshake.onAnswer(request.member(), recalled, asker.hasCommittedState);
    }

    VoterProcess get(int member) {
        return processes.get(member);
    }

    VoterRecoveryHandshake.State state(int member) {
        return processes.get(member).handshake.state();
    }
}
