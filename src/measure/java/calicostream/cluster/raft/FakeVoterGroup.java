// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.MemberMessage;
import calicostream.durable.StateLossDetector.LocalState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Voters that ask each other before their first word; frames are handed over by hand. One thread.
 */
final class FakeVoterGroup {
    static final int PATIENCE = 4;
    private static final List<Voter> FIRST =
            List.of(new Voter(1, 0), new Voter(2, 0), new Voter(3, 0));

    /** A voter's process and what it kept. */
    final class VoterProcess implements VoterRecoveryHandshake.RecoveryStore {
        final VoterRecoveryHandshake handshake;
        private final boolean grouped;
        private byte[] memory;
        String barred = "";
        int admissions;

        VoterProcess(Voter self, LocalState own, byte[] memory, boolean grouped) {
            this.grouped = grouped;
            this.memory = memory;
            handshake =
                    new VoterRecoveryHandshake(
                            self, FIRST, FIRST, own, memory, ++nonces, PATIENCE, this);
        }

        @Override
        public void savePeerState(byte[] bytes) {
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
    private final Map<Integer, VoterProcess> sides = new TreeMap<>();

    /** Again, with what it remembers of its peers, if it has run here before. */
    VoterProcess start(int member, LocalState own) {
        VoterProcess before = sides.get(member);
        sides.put(
                member,
                new VoterProcess(
                        new Voter(member, 0),
                        own,
                        before == null ? null : before.memory,
                        own.lastIndex() > 0));
        return sides.get(member);
    }

    /**
     * Beats at all, with all answers, for some rounds; who is not among {@code up} hears nothing.
     */
    void rounds(int rounds, Integer... up) throws IOException {
        List<Integer> there = List.of(up);
        for (int i = 0; i < rounds; i++) {
            for (int member : there) {
                List<VoterRecoveryHandshake.OutgoingFrame> asks =
                        new ArrayList<>(sides.get(member).handshake.onHeartbeat());
                for (VoterRecoveryHandshake.OutgoingFrame ask : asks) {
                    if (there.contains(ask.member())) {
                        VoterProcess peer = sides.get(ask.member());
                        for (VoterRecoveryHandshake.OutgoingFrame told :
                                peer.handshake.received(
                                        member,
                                        (MemberMessage.RecoveryRequest)
                                                MemberMessage.decode(ask.frame()),
                                        peer.grouped)) {
                            sides.get(member)
                                    .handshake
                                    .received(
                                            ask.member(),
                                            (MemberMessage.RecoveryResponse)
                                                    MemberMessage.decode(told.frame()),
                                            sides.get(member).grouped);
                        }
                    }
                }
            }
        }
    }

    /** One that is none of the first voters, and has kept nothing. */
    VoterProcess join(int member, LocalState own) {
        sides.put(member, new VoterProcess(new Voter(member, 0), own, null, false));
        return sides.get(member);
    }

    VoterProcess get(int member) {
        return sides.get(member);
    }

    VoterRecoveryHandshake.State state(int member) {
        return sides.get(member).handshake.state();
    }
}
