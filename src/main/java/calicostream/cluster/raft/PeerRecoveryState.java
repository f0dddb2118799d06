// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.BinaryCodec;
import calicostream.durable.StateLossDetector.PeerObservation;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;
import java.util.Comparator;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What this voter knows of each peer for the recovery handshake: the incarnation that it last met,
 * and what that peer acknowledged and voted here. Incarnations must be durable ({@link #encode})
 * before a peer is answered; terms, indexes and votes are in memory only, as a sync for each
 * acknowledgement would cost more than it could detect. Pure; the voter's thread.
 */
final class PeerRecoveryState {
    private static final int VERSION = 1;
    private static final int PEER_BYTES = 33;

    private static final class Peer {
        private long incarnation;
        private long nonce;

        /** All that was known of the peer when it was met as its present incarnation. */
        private PeerObservation beforeIncarnation = PeerObservation.NONE;

        private long term;
        private long acknowledgedIndex;
        private long voteTerm;

        private PeerObservation seen(boolean hasCommittedState) {
            return new PeerObservation(
                    incarnation,
                    Math.max(term, beforeIncarnation.term()),
                    acknowledgedInLatestTerm(),
                    Math.max(voteTerm, beforeIncarnation.voteTerm()),
                    false,
                    hasCommittedState);
        }

        private long acknowledgedInLatestTerm() {
            if (term > beforeIncarnation.term()) {
                return acknowledgedIndex;
            }
            if (term < beforeIncarnation.term()) {
                return beforeIncarnation.acknowledgedIndex();
            }
            return Math.max(acknowledgedIndex, beforeIncarnation.acknowledgedIndex());
        }
    }

    private final SortedMap<Voter, Peer> peers =
            new TreeMap<>(
                    Comparator.comparingInt(Voter::member).thenComparingInt(Voter::generation));
    private boolean hasUnsavedChange;

    /**
     * A peer introduced itself with its incarnation. The same process is always answered the same,
     * whatever it did since; an older incarnation, or another process of the same one, is answered
     * with all that was seen.
     *
     * @param nonce distinguishes two processes of one incarnation
     * @param hasCommittedState whether this voter's group has committed an entry
     * @return what was known of the peer before it was met as this incarnation
     */
    PeerObservation recordIncarnation(
            Voter voter, long incarnation, long nonce, boolean hasCommittedState) {
        Peer peer = peers.computeIfAbsent(voter, any -> new Peer());
        if (incarnation > peer.incarnation) {
            peer.beforeIncarnation = peer.seen(hasCommittedState);
            peer.incarnation = incarnation;
            peer.nonce = nonce;
            hasUnsavedChange = true;
            return peer.beforeIncarnation;
        }
        boolean isSameProcess = incarnation == peer.incarnation && nonce == peer.nonce;
        return isSameProcess ? peer.beforeIncarnation : peer.seen(hasCommittedState);
    }

    /** A message was received; only votes and acknowledgements, which the sender synced, count. */
    void onRaftMessage(RaftMessage message) {
        boolean isVote = message instanceof VoteResponse response && response.isGranted();
        if (!isVote && !(message instanceof AppendEntriesSuccessResponse)) {
            return;
        }
        Peer peer = peers.computeIfAbsent((Voter) message.getSender(), any -> new Peer());
        if (message.getTerm() > peer.term) {
            peer.term = message.getTerm();
            peer.acknowledgedIndex = 0;
        }
        if (isVote) {
            peer.voteTerm = Math.max(peer.voteTerm, message.getTerm());
        } else if (message instanceof AppendEntriesSuccessResponse acknowledgement
                && message.getTerm() == peer.term) {
            peer.acknowledgedIndex =
                    Math.max(peer.acknowledgedIndex, acknowledgement.getLastLogIndex());
        }
    }

    /** Whether an incarnation was met since the last call that must be made durable. */
    boolean takeUnsavedChange() {
        boolean wasUnsaved = hasUnsavedChange;
        hasUnsavedChange = false;
        return wasUnsaved;
    }

    /** The durable part. */
    byte[] encode() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION).i32(peers.size());
        peers.forEach(
                (voter, peer) -> {
                    RaftLogCodec.writeVoter(out, voter);
                    out.i64(peer.incarnation)
                            .i64(peer.nonce)
                            .i64(peer.beforeIncarnation.incarnation())
                            .u8(peer.beforeIncarnation.groupFormed() ? 1 : 0);
                });
        return out.toByteArray();
    }

    /** What {@link #encode} made durable, without the part that is in memory only. */
    static PeerRecoveryState decode(byte[] bytes) {
        PeerRecoveryState state = new PeerRecoveryState();
        BinaryCodec.Reader in = new BinaryCodec.Reader("memory of peers", bytes);
        in.requireVersion(VERSION);
        for (int left = in.count(PEER_BYTES); left > 0; left--) {
            Voter voter = RaftLogCodec.readVoter(in);
            Peer peer = new Peer();
            peer.incarnation = in.i64();
            peer.nonce = in.i64();
            peer.beforeIncarnation = new PeerObservation(in.i64(), 0, 0, 0, false, in.u8() != 0);
            state.peers.put(voter, peer);
        }
        in.requireEnd();
        return state;
    }
}
