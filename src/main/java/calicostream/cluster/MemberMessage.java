// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * What goes over {@link PeerTransport}: messages among voters, members' requests with their
 * replies, and news. Immutable.
 */
public sealed interface MemberMessage {
    int VERSION = 1;

    /** What a request asks for. */
    enum Operation {
        /** {@code body} is an {@link ReplicatedEntry} to put into the log. */
        PROPOSE,
        /** {@code body} is a question to {@code machine}, answered as of now or later. */
        READ,
        /** A question to {@code machine}, answered from the copy at hand with its age. */
        LOCAL_READ
    }

    /**
     * Of the consensus, in its own encoding.
     *
     * @param generation of the voter that it is for: a member's present voter must not answer for
     *     one that it was
     */
    record RaftMessage(int generation, byte[] message) implements MemberMessage {}

    /** {@code id} is chosen by the sender, another one for each attempt. */
    record Request(long id, Operation operation, String machine, byte[] body)
            implements MemberMessage {}

    /**
     * @param ageNanos with {@link Operation#LOCAL_READ}, how old the state is at most that was
     *     asked; else 0
     */
    record Reply(long id, long ageNanos, CommandOutcome outcome) implements MemberMessage {}

    /**
     * Something happened at {@code index}, told to a member unasked; may be lost, late, or there
     * twice.
     */
    record Notification(String machine, long index, CommandEffects.Event event)
            implements MemberMessage {}

    /**
     * A voter asks what is remembered of it; {@code nonce} is this process's, and comes back with
     * the answer.
     */
    record RecoveryRequest(int generation, long incarnation, long nonce) implements MemberMessage {}

    /**
     * What the answerer, by its own generation, incarnation and nonce, remembers of the asker from
     * before it met its present incarnation: one that it had seen, the latest term in which that
     * answered it, the highest index it acknowledged in it, the latest term in which it voted for
     * the answerer; and whether the answerer's group had committed something.
     *
     * @param to the asker's nonce
     */
    record RecoveryResponse(
            long requestNonce,
            int generation,
            long incarnation,
            long nonce,
            long seenIncarnation,
            long term,
            long acknowledgedIndex,
            long voteTerm,
            boolean groupHasCommitted)
            implements MemberMessage {}

    default byte[] encode() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION);
        if (this instanceof RaftMessage raft) {
            out.u8(1).i32(raft.generation).blob(raft.message);
        } else if (this instanceof Request request) {
            out.u8(2)
                    .i64(request.id)
                    .u8(request.operation.ordinal())
                    .text(request.machine)
                    .blob(request.body);
        } else if (this instanceof Reply reply) {
            reply.outcome.encode(out.u8(3).i64(reply.id).i64(reply.ageNanos));
        } else if (this instanceof Notification news) {
            out.u8(4)
                    .text(news.machine)
                    .i64(news.index)
                    .text(news.event.kind())
                    .i64(news.event.recipient())
                    .blob(news.event.body());
        } else if (this instanceof RecoveryRequest ask) {
            out.u8(5).i32(ask.generation).i64(ask.incarnation).i64(ask.nonce);
        } else if (this instanceof RecoveryResponse told) {
            out.u8(6)
                    .i64(told.requestNonce)
                    .i32(told.generation)
                    .i64(told.incarnation)
                    .i64(told.nonce)
                    .i64(told.seenIncarnation)
                    .i64(told.term)
                    .i64(told.acknowledgedIndex)
                    .i64(told.voteTerm)
                    .u8(told.groupHasCommitted ? 1 : 0);
        }
        return out.toByteArray();
    }

    /**
     * @throws ClusterException.Malformed if the bytes are no frame of this version
     */
    static MemberMessage decode(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("frame", bytes);
        in.requireVersion(VERSION);
        int kind = in.u8();
        MemberMessage frame =
                switch (kind) {
                    case 1 -> new RaftMessage(in.i32(), in.blob(PeerTransport.MAX_FRAME_BYTES));
                    case 2 -> {
                        long id = in.i64();
                        int ask = in.u8();
                        if (ask >= Operation.values().length) {
                            throw in.malformed("no request asks for " + ask);
                        }
                        yield new Request(
                                id,
                                Operation.values()[ask],
                                in.text(ReplicatedEntry.MAX_NAME_BYTES),
                                in.blob(2 * Command.MAX_BODY_BYTES));
                    }
                    case 3 -> new Reply(in.i64(), in.i64(), CommandOutcome.decode(in));
                    case 4 -> {
                        String machine = in.text(ReplicatedEntry.MAX_NAME_BYTES);
                        long index = in.i64();
                        String what = in.text(ReplicatedEntry.MAX_NAME_BYTES);
                        long to = in.i64();
                        yield new Notification(
                                machine,
                                index,
                                new CommandEffects.Event(
                                        what, in.blob(Command.MAX_BODY_BYTES), to));
                    }
                    case 5 -> new RecoveryRequest(in.i32(), in.i64(), in.i64());
                    case 6 ->
                            new RecoveryResponse(
                                    in.i64(),
                                    in.i32(),
                                    in.i64(),
                                    in.i64(),
                                    in.i64(),
                                    in.i64(),
                                    in.i64(),
                                    in.i64(),
                                    in.u8() != 0);
                    default -> throw in.malformed("no frame is of kind " + kind);
                };
        in.requireEnd();
        return frame;
    }
}
