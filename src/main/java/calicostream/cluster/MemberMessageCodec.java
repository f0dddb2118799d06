// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/** Encodes and decodes {@link MemberMessage}s: a version byte, a type byte, then the fields. */
final class MemberMessageCodec {
    private static final int VERSION = 1;
    private static final int RAFT_MESSAGE = 1;
    private static final int REQUEST = 2;
    private static final int REPLY = 3;
    private static final int NOTIFICATION = 4;
    private static final int RECOVERY_REQUEST = 5;
    private static final int RECOVERY_RESPONSE = 6;

    private MemberMessageCodec() {}

    static byte[] encode(MemberMessage message) {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION);
        if (message instanceof MemberMessage.RaftMessage raft) {
            out.u8(RAFT_MESSAGE).i32(raft.generation()).blob(raft.message());
        } else if (message instanceof MemberMessage.Request request) {
            encode(request, out.u8(REQUEST));
        } else if (message instanceof MemberMessage.Reply reply) {
            out.u8(REPLY).i64(reply.id()).i64(reply.ageNanos());
            reply.outcome().encode(out);
        } else if (message instanceof MemberMessage.Notification notification) {
            encode(notification, out.u8(NOTIFICATION));
        } else if (message instanceof MemberMessage.RecoveryRequest request) {
            out.u8(RECOVERY_REQUEST)
                    .i32(request.generation())
                    .i64(request.incarnation())
                    .i64(request.nonce());
        } else if (message instanceof MemberMessage.RecoveryResponse response) {
            encode(response, out.u8(RECOVERY_RESPONSE));
        }
        return out.toByteArray();
    }

    private static void encode(MemberMessage.Request request, BinaryCodec.Writer out) {
        out.i64(request.id())
                .u8(request.operation().wireValue())
                .text(request.machine())
                .blob(request.body());
    }

    private static void encode(MemberMessage.Notification notification, BinaryCodec.Writer out) {
        out.text(notification.machine())
                .i64(notification.index())
                .text(notification.event().kind())
                .i64(notification.event().recipient())
                .blob(notification.event().body());
    }

    private static void encode(MemberMessage.RecoveryResponse response, BinaryCodec.Writer out) {
        out.i64(response.requestNonce())
                .i32(response.generation())
                .i64(response.incarnation())
                .i64(response.nonce())
                .i64(response.seenIncarnation())
                .i64(response.term())
                .i64(response.acknowledgedIndex())
                .i64(response.voteTerm())
                .u8(response.groupHasCommitted() ? 1 : 0);
    }

    static MemberMessage decode(byte[] frame) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("frame", frame);
        in.requireVersion(VERSION);
        int type = in.u8();
        MemberMessage message =
                switch (type) {
                    case RAFT_MESSAGE ->
                            new MemberMessage.RaftMessage(
                                    in.i32(), in.blob(PeerTransport.MAX_FRAME_BYTES));
                    case REQUEST -> decodeRequest(in);
                    case REPLY ->
                            new MemberMessage.Reply(in.i64(), in.i64(), CommandOutcome.decode(in));
                    case NOTIFICATION -> decodeNotification(in);
                    case RECOVERY_REQUEST ->
                            new MemberMessage.RecoveryRequest(in.i32(), in.i64(), in.i64());
                    case RECOVERY_RESPONSE -> decodeRecoveryResponse(in);
                    default -> throw in.malformed("unknown type of message " + type);
                };
        in.requireEnd();
        return message;
    }

    private static MemberMessage decodeRequest(BinaryCodec.Reader in) {
        return new MemberMessage.Request(
                in.i64(),
                decodeOperation(in),
                in.text(ReplicatedEntry.MAX_NAME_BYTES),
                in.blob(2 * Command.MAX_BODY_BYTES));
    }

    private static MemberMessage.Operation decodeOperation(BinaryCodec.Reader in) {
        int value = in.u8();
        for (MemberMessage.Operation operation : MemberMessage.Operation.values()) {
            if (operation.wireValue() == value) {
                return operation;
            }
        }
        throw in.malformed("unknown operation " + value);
    }

    private static MemberMessage decodeNotification(BinaryCodec.Reader in) {
        String machine = in.text(ReplicatedEntry.MAX_NAME_BYTES);
        long index = in.i64();
        String kind = in.text(ReplicatedEntry.MAX_NAME_BYTES);
        long recipient = in.i64();
        byte[] body = in.blob(Command.MAX_BODY_BYTES);
        return new MemberMessage.Notification(
                machine, index, new CommandEffects.Event(kind, body, recipient));
    }

    private static MemberMessage decodeRecoveryResponse(BinaryCodec.Reader in) {
        return new MemberMessage.RecoveryResponse(
                in.i64(),
                in.i32(),
                in.i64(),
                in.i64(),
                in.i64(),
                in.i64(),
                in.i64(),
                in.i64(),
                in.u8() != 0);
    }
}
