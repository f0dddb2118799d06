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
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Decides whether a started voter may take part in the consensus: it asks its peers what they know
 * of its former incarnations, and answers when they ask. It waits a number of heartbeats for all
 * other voters, and without end for a majority of them, as fewer could not elect it; the verdict is
 * {@link StateLossDetector}'s. A voter that lost state is barred for good under its generation and
 * can return as a learner under the next. No I/O but through its {@link RecoveryStore}, no clock;
 * the voter's thread.
 */
public final class VoterRecoveryHandshake {
    /** The progress of the handshake. */
    public enum State {
        /** Not enough peers have answered; the voter neither votes nor acknowledges. */
        WAITING_FOR_PEERS,
        /** Its state is complete, and it votes. */
        VOTER,
        /** It has promised nothing yet, and follows until the group promotes it. */
        LEARNER,
        /** It lost state that it had promised to keep: this generation is barred. */
        STATE_LOST,
        /** Another process of the same voter is running. */
        DUPLICATE_PROCESS
    }

    /** Keeps what must survive a crash; each call is durable when it returns. */
    public interface RecoveryStore {
        /** Replaces what is known of the peers. */
        void savePeerState(byte[] peerState) throws IOException;

        /** Bars this voter's generation for good. */
        void bar(String reason) throws IOException;

        /** Records that the group counts on this voter's promises from now on. */
        void admit() throws IOException;
    }

    /**
     * The settings of a handshake.
     *
     * @param initialVoters the voters that the cluster was created with
     * @param nonce of this process, drawn at random
     * @param patienceHeartbeats how long to wait for voters that do not answer
     */
    record Settings(
            Voter self, Collection<Voter> initialVoters, long nonce, int patienceHeartbeats) {}

    /** A frame to be sent to a member. */
    record OutgoingFrame(int member, byte[] frame) {}

    private final Settings settings;
    private final Voter self;
    private final boolean isInitialVoter;
    private final Set<Integer> otherVoters;
    private final Set<Integer> askedMembers;
    private final LocalState localState;
    private final RecoveryStore store;
    private final PeerRecoveryState peers;

    /** What each voter that answered has seen of this one. */
    private final Map<String, PeerObservation> answers = new TreeMap<>();

    /** The voter, by its member number, under which each member answered. */
    private final Map<Integer, String> answeredAs = new TreeMap<>();

    private boolean isAdmitted;
    private State state = State.WAITING_FOR_PEERS;
    private String reason = "";
    private int heartbeats;

    /**
     * Creates a handshake that has asked nobody yet.
     *
     * @param loggedVoters the voters by this voter's own log
     * @param localState what this voter's disk says of it
     * @param peerState what was saved of the peers before; null if nothing
     */
    VoterRecoveryHandshake(
            Settings settings,
            Collection<Voter> loggedVoters,
            LocalState localState,
            byte[] peerState,
            RecoveryStore store) {
        this.settings = settings;
        this.self = settings.self;
        this.isInitialVoter = settings.initialVoters.contains(self);
        this.otherVoters = memberNumbers(loggedVoters);
        this.askedMembers = memberNumbers(settings.initialVoters);
        askedMembers.addAll(otherVoters);
        otherVoters.remove(self.member());
        askedMembers.remove(self.member());
        this.localState = localState;
        this.isAdmitted = localState.votingStatus() == VotingStatus.ADMITTED;
        this.peers =
                peerState == null ? new PeerRecoveryState() : PeerRecoveryState.decode(peerState);
        this.store = store;
    }

    private static Set<Integer> memberNumbers(Collection<Voter> voters) {
        return voters.stream().map(Voter::member).collect(Collectors.toCollection(TreeSet::new));
    }

    /** How far the handshake is. */
    public State state() {
        return state;
    }

    /** Why it is in its state, for operators; empty before the first heartbeat. */
    public String reason() {
        return reason;
    }

    /** Whether the voter may send messages of the consensus. */
    boolean mayStart() {
        return state == State.VOTER || state == State.LEARNER;
    }

    /** The error of a state that ends this process's voter; null in any other state. */
    ClusterException error() {
        return switch (state) {
            case STATE_LOST ->
                    new ClusterException.VoterStateLost(self.member(), self.generation(), reason);
            case DUPLICATE_PROCESS -> new ClusterException.VoterStopped(self.member(), reason);
            case WAITING_FOR_PEERS, VOTER, LEARNER -> null;
        };
    }

    /**
     * Called at each heartbeat.
     *
     * @return requests to the peers that have not answered; seldom ones after the patience is over
     */
    List<OutgoingFrame> onHeartbeat() throws IOException {
        heartbeats++;
        decide();
        int patience = settings.patienceHeartbeats;
        boolean isRequestDue = heartbeats <= patience || heartbeats % patience == 0;
        if (error() != null || !isRequestDue) {
            return List.of();
        }
        byte[] frame =
                new MemberMessage.RecoveryRequest(
                                self.generation(), localState.incarnation(), settings.nonce)
                        .encode();
        return askedMembers.stream()
                .filter(member -> !answeredAs.containsKey(member))
                .map(member -> new OutgoingFrame(member, frame))
                .toList();
    }

    /**
     * A peer asks what is known of it.
     *
     * @param hasCommittedState whether this voter's group has committed an entry
     * @return the answer
     */
    OutgoingFrame onRequest(
            int from, MemberMessage.RecoveryRequest request, boolean hasCommittedState)
            throws IOException {
        Voter peer = new Voter(from, request.generation());
        PeerObservation seen =
                recordPeer(peer, request.incarnation(), request.nonce(), hasCommittedState);
        MemberMessage.RecoveryResponse answer =
                new MemberMessage.RecoveryResponse(
                        request.nonce(),
                        self.generation(),
                        localState.incarnation(),
                        settings.nonce,
                        seen.incarnation(),
                        seen.term(),
                        seen.acknowledgedIndex(),
                        seen.voteTerm(),
                        seen.groupFormed());
        return new OutgoingFrame(from, answer.encode());
    }

    /** A peer answers; an answer to another process is ignored. */
    void onAnswer(int from, MemberMessage.RecoveryResponse answer, boolean hasCommittedState)
            throws IOException {
        if (answer.requestNonce() != settings.nonce) {
            return;
        }
        Voter peer = new Voter(from, answer.generation());
        recordPeer(peer, answer.incarnation(), answer.nonce(), hasCommittedState);
        answeredAs.put(from, peer.toString());
        answers.put(peer.toString(), seenBeforeThisProcess(answer));
        decide();
    }

    /**
     * Once this voter has started it has sent messages, so of a late answer only the incarnation is
     * certain to be from before.
     */
    private PeerObservation seenBeforeThisProcess(MemberMessage.RecoveryResponse answer) {
        if (mayStart()) {
            return new PeerObservation(answer.seenIncarnation(), 0, 0, 0, false, false);
        }
        return new PeerObservation(
                answer.seenIncarnation(),
                answer.term(),
                answer.acknowledgedIndex(),
                answer.voteTerm(),
                false,
                answer.groupHasCommitted());
    }

    /** The peer's incarnation is durable before anything relies on its message. */
    private PeerObservation recordPeer(
            Voter peer, long incarnation, long peerNonce, boolean hasCommittedState)
            throws IOException {
        PeerObservation seen =
                peers.recordIncarnation(peer, incarnation, peerNonce, hasCommittedState);
        if (peers.takeUnsavedChange()) {
            store.savePeerState(peers.encode());
        }
        return seen;
    }

    /** A message of the consensus was received. */
    void onRaftMessage(RaftMessage message) {
        peers.onRaftMessage(message);
    }

    /** The group has committed that this is one of its voters: its promises count from now on. */
    void onCommittedVoter() throws IOException {
        if (mayStart()) {
            admit();
        }
    }

    private void admit() throws IOException {
        if (!isAdmitted) {
            isAdmitted = true;
            store.admit();
        }
    }

    private void decide() throws IOException {
        if (error() != null) {
            return;
        }
        StateLossDetector.Assessment answer =
                StateLossDetector.assess(localState, isInitialVoter, otherVoterNames(), answers);
        boolean hasLostState = StateLossDetector.hasLostState(localState, answers);
        if (mayStart() && !hasLostState) {
            return;
        }
        reason = answer.reason();
        RecoveryVerdict verdict = answer.verdict();
        if (verdict == RecoveryVerdict.REFUSE) {
            state = State.DUPLICATE_PROCESS;
        } else if (hasLostState || verdict == RecoveryVerdict.LEARNER && isInitialVoter) {
            state = State.STATE_LOST;
            store.bar(reason);
        } else if (verdict == RecoveryVerdict.VOTER && hasWaitedForPeers()) {
            admit();
            state = State.VOTER;
        } else if (verdict == RecoveryVerdict.LEARNER
                && hasWaitedForPeers()
                && hasMajorityAnswered()) {
            state = State.LEARNER;
        }
    }

    private boolean hasWaitedForPeers() {
        return answeredVoters() == otherVoters.size() || heartbeats >= settings.patienceHeartbeats;
    }

    private boolean hasMajorityAnswered() {
        return answeredVoters() >= (otherVoters.size() + 1) / 2;
    }

    private long answeredVoters() {
        return otherVoters.stream().filter(answeredAs::containsKey).count();
    }

    /** The other voters, each under the name by which it answered. */
    private Set<String> otherVoterNames() {
        return otherVoters.stream()
                .map(member -> answeredAs.getOrDefault(member, member + ".?"))
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
