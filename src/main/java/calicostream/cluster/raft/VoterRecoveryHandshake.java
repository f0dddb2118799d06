// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.ClusterException;
import calicostream.cluster.MemberMessage;
import calicostream.durable.RecoveryVerdict;
import calicostream.durable.StateLossDetector;
import calicostream.durable.StateLossDetector.LocalState;
import calicostream.durable.StateLossDetector.PeerObservation;
import calicostream.durable.StateLossDetector.VotingStatus;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Whether a voter may say its first word: it asks its peers what they remember of it, and answers
 * when they ask. No I/O but through its {@link RecoveryStore}, no clock, one thread. It waits for
 * all other voters for some beats and for a majority of them without end, as it could not be
 * elected by fewer; {@link StateLossDetector} is the judge. What has forgotten is barred for good
 * under its generation and says why; it comes back as a learner under the next.
 */
public final class VoterRecoveryHandshake {
    /** Where it stands. */
    public enum State {
        /** It neither votes nor acknowledges yet. */
        WAITING_FOR_PEERS,
        /** It remembers all that it promised. */
        VOTER,
        /** It promised nothing yet, and follows until the group promotes it. */
        LEARNER,
        /** It forgot: this generation is over. */
        STATE_LOST,
        /** Another process of its name lives. */
        DUPLICATE_PROCESS
    }

    /** Where what must outlive a crash is kept; each call is on the disk on return. */
    public interface RecoveryStore {
        void savePeerState(byte[] memory) throws IOException;

        void bar(String why) throws IOException;

        void admit() throws IOException;
    }

    /** A frame for a member. */
    record OutgoingFrame(int member, byte[] frame) {}

    private final Voter self;
    private final boolean founder;
    private final Set<Integer> others;
    private final Set<Integer> asked;
    private final LocalState own;
    private final long nonce;
    private final int patience;
    private final RecoveryStore keeper;
    private final PeerRecoveryState memory;
    private final Map<String, PeerObservation> told = new TreeMap<>();
    private final Map<Integer, String> names = new TreeMap<>();
    private boolean admitted;
    private State state = State.WAITING_FOR_PEERS;
    private String reason = "";
    private int beats;

    /**
     * @param first the voters that the cluster began with
     * @param voters as this voter's own log names them
     * @param memory what it kept of its peers before; null if nothing
     * @param nonce of this process, drawn at random
     * @param patience in beats, for voters that don't answer
     */
    VoterRecoveryHandshake(
            Voter self,
            Collection<Voter> first,
            Collection<Voter> voters,
            LocalState own,
            byte[] memory,
            long nonce,
            int patience,
            RecoveryStore keeper) {
        this.self = self;
        this.founder = first.contains(self);
        this.others = members(voters);
        this.asked = members(first);
        asked.addAll(others);
        others.remove(self.member());
        asked.remove(self.member());
        this.own = own;
        this.admitted = own.votingStatus() == VotingStatus.ADMITTED;
        this.memory = memory == null ? new PeerRecoveryState() : PeerRecoveryState.decode(memory);
        this.nonce = nonce;
        this.patience = patience;
        this.keeper = keeper;
    }

    private static Set<Integer> members(Collection<Voter> voters) {
        return voters.stream().map(Voter::member).collect(Collectors.toCollection(TreeSet::new));
    }

    public State state() {
        return state;
    }

    /** Why it stands so; for operators. */
    public String reason() {
        return reason;
    }

    boolean mayStart() {
        return state == State.VOTER || state == State.LEARNER;
    }

    /** Of a state that is the end of this process's voter; else null. */
    ClusterException error() {
        return state == State.STATE_LOST
                ? new ClusterException.VoterStateLost(self.member(), self.generation(), reason)
                : state == State.DUPLICATE_PROCESS
                        ? new ClusterException.VoterStopped(self.member(), reason)
                        : null;
    }

    /** At each beat: whom to ask (again). Peers that are silent for long are asked seldom. */
    List<OutgoingFrame> onHeartbeat() throws IOException {
        beats++;
        decide();
        List<OutgoingFrame> sends = new ArrayList<>();
        if (error() == null && (beats <= patience || beats % patience == 0)) {
            byte[] frame =
                    new MemberMessage.RecoveryRequest(self.generation(), own.incarnation(), nonce)
                            .encode();
            asked.stream()
                    .filter(member -> !names.containsKey(member))
                    .forEach(member -> sends.add(new OutgoingFrame(member, frame)));
        }
        return sends;
    }

    /**
     * @param grouped whether this voter's group has committed something
     */
    List<OutgoingFrame> received(int from, MemberMessage.RecoveryRequest ask, boolean grouped)
            throws IOException {
        PeerObservation seen =
                met(new Voter(from, ask.generation()), ask.incarnation(), ask.nonce(), grouped);
        return List.of(
                new OutgoingFrame(
                        from,
                        new MemberMessage.RecoveryResponse(
                                        ask.nonce(),
                                        self.generation(),
                                        own.incarnation(),
                                        nonce,
                                        seen.incarnation(),
                                        seen.term(),
                                        seen.acknowledgedIndex(),
                                        seen.voteTerm(),
                                        seen.groupFormed())
                                .encode()));
    }

    void received(int from, MemberMessage.RecoveryResponse answer, boolean grouped)
            throws IOException {
        if (answer.requestNonce() != nonce) {
            return;
        }
        Voter peer = new Voter(from, answer.generation());
        met(peer, answer.incarnation(), answer.nonce(), grouped);
        PeerObservation seen =
                new PeerObservation(
                        answer.seenIncarnation(),
                        answer.term(),
                        answer.acknowledgedIndex(),
                        answer.voteTerm(),
                        false,
                        answer.groupHasCommitted());
        if (mayStart()) {
            // It has spoken since, so of what a late one tells only the incarnation is from before.
            seen = new PeerObservation(seen.incarnation(), 0, 0, 0, false, false);
        }
        names.put(from, peer.toString());
        told.put(peer.toString(), seen);
        decide();
    }

    /** The peer is remembered on the disk before anything rests on its word. */
    private PeerObservation met(Voter peer, long incarnation, long itsNonce, boolean grouped)
            throws IOException {
        PeerObservation seen = memory.recordIncarnation(peer, incarnation, itsNonce, grouped);
        if (memory.takeUnsavedChange()) {
            keeper.savePeerState(memory.encode());
        }
        return seen;
    }

    void onRaftMessage(RaftMessage message) {
        memory.onRaftMessage(message);
    }

    /** The group has it among its voters, committed: from now on its promises count. */
    void onAdmitted() throws IOException {
        if (!admitted && mayStart()) {
            admitted = true;
            keeper.admit();
        }
    }

    private void decide() throws IOException {
        if (error() != null) {
            return;
        }
        StateLossDetector.Assessment answer = StateLossDetector.assess(own, founder, named(), told);
        boolean forgot = StateLossDetector.hasLostState(own, told);
        if (mayStart() && !forgot) {
            return;
        }
        reason = answer.reason();
        long heard = others.stream().filter(names::containsKey).count();
        boolean waited = heard == others.size() || beats >= patience;
        if (answer.verdict() == RecoveryVerdict.REFUSE) {
            state = State.DUPLICATE_PROCESS;
        } else if (forgot || answer.verdict() == RecoveryVerdict.LEARNER && founder) {
            state = State.STATE_LOST;
            keeper.bar(reason);
        } else if (answer.verdict() == RecoveryVerdict.VOTER && waited) {
            if (!admitted) {
                admitted = true;
                keeper.admit();
            }
            state = State.VOTER;
        } else if (answer.verdict() == RecoveryVerdict.LEARNER
                && waited
                && heard >= (others.size() + 1) / 2) {
            state = State.LEARNER;
        }
    }

    /** The other voters, by the name under which each answered. */
    private Set<String> named() {
        return others.stream()
                .map(member -> names.getOrDefault(member, member + ".?"))
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
