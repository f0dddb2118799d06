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
 * What this voter remembers of each other one: which incarnation it has met, and what that one
 * acknowledged and voted here. Pure, one thread. Incarnations are to be kept on the disk before
 * they are answered for ({@link #write}); terms, indexes and votes are in memory alone, as a sync
 * for each acknowledgement would cost more than it tells.
 */
final class PeerRecoveryState {
    private static final int VERSION = 1;

    /** {@code before} is all that was known when this incarnation was met. */
    private static final class Known {
        private long incarnation;
        private long nonce;
        private PeerObservation before = PeerObservation.NONE;
        private long term;
        private long acknowledged;
        private long voteTerm;

        private PeerObservation now(boolean grouped) {
            boolean later = term > before.term();
            long index =
                    term == before.term()
                            ? Math.max(acknowledged, before.acknowledgedIndex())
                            : later ? acknowledged : before.acknowledgedIndex();
            return new PeerObservation(
                    incarnation,
                    Math.max(term, before.term()),
                    index,
                    Math.max(voteTerm, before.voteTerm()),
                    false,
                    grouped);
        }
    }

    private final SortedMap<Voter, Known> known =
            new TreeMap<>(
                    Comparator.comparingInt(Voter::member).thenComparingInt(Voter::generation));
    private boolean changed;

    /**
     * A voter says that it is this incarnation; {@code nonce} tells two processes of one
     * incarnation apart. The same again hears the same, whatever it did since; an older one, or
     * another process, hears of all that was seen.
     *
     * @param grouped whether this voter's group had committed something before
     */
    PeerObservation recordIncarnation(Voter who, long incarnation, long nonce, boolean grouped) {
        Known one = known.computeIfAbsent(who, any -> new Known());
        if (incarnation > one.incarnation) {
            one.before = one.now(grouped);
            one.incarnation = incarnation;
            one.nonce = nonce;
            changed = true;
            return one.before;
        }
        return incarnation == one.incarnation && nonce == one.nonce ? one.before : one.now(grouped);
    }

    /** Only what its sender had synced before it said so. */
    void onRaftMessage(RaftMessage message) {
        boolean vote = message instanceof VoteResponse response && response.isGranted();
        if (!vote && !(message instanceof AppendEntriesSuccessResponse)) {
            return;
        }
        Known one = known.computeIfAbsent((Voter) message.getSender(), any -> new Known());
        if (message.getTerm() > one.term) {
            one.term = message.getTerm();
            one.acknowledged = 0;
        }
        if (vote) {
            one.voteTerm = Math.max(one.voteTerm, message.getTerm());
        } else if (message instanceof AppendEntriesSuccessResponse ack
                && message.getTerm() == one.term) {
            one.acknowledged = Math.max(one.acknowledged, ack.getLastLogIndex());
        }
    }

    /** Once after an incarnation was met that is to be kept. */
    boolean takeUnsavedChange() {
        boolean was = changed;
        changed = false;
        return was;
    }

    byte[] encode() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION).i32(known.size());
        known.forEach(
                (who, one) -> {
                    RaftMessageCodec.voter(out, who);
                    out.i64(one.incarnation)
                            .i64(one.nonce)
                            .i64(one.before.incarnation())
                            .u8(one.before.groupFormed() ? 1 : 0);
                });
        return out.toByteArray();
    }

    static PeerRecoveryState decode(byte[] bytes) {
        PeerRecoveryState read = new PeerRecoveryState();
        BinaryCodec.Reader in = new BinaryCodec.Reader("memory of peers", bytes);
        in.requireVersion(VERSION);
        for (int left = in.count(33); left > 0; left--) {
            Voter who = RaftMessageCodec.voter(in);
            Known one = new Known();
            one.incarnation = in.i64();
            one.nonce = in.i64();
            one.before = new PeerObservation(in.i64(), 0, 0, 0, false, in.u8() != 0);
            read.known.put(who, one);
        }
        in.requireEnd();
        return read;
    }
}
