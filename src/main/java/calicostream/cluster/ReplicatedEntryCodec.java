// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/** Encodes and decodes {@link ReplicatedEntry}s: a version byte, a type byte, then the fields. */
final class ReplicatedEntryCodec {
    private static final int VERSION = 1;
    private static final int EPOCH_START = 1;
    private static final int OPEN_SESSION = 2;
    private static final int RUN_COMMAND = 3;
    private static final int KEEP_ALIVE = 4;
    private static final int CLOSE_SESSION = 5;
    private static final int EXPIRE_SESSION = 6;
    private static final int LEADER_COMMAND = 7;
    private static final int ADD_VOTER = 8;
    private static final int REMOVE_VOTER = 9;

    private ReplicatedEntryCodec() {}

    static byte[] encode(ReplicatedEntry entry) {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION);
        if (entry.isLeaderOnly()) {
            encodeLeaderEntry(entry, out);
        } else {
            encodeMemberEntry(entry, out);
        }
        return out.toByteArray();
    }

    private static void encodeMemberEntry(ReplicatedEntry entry, BinaryCodec.Writer out) {
        if (entry instanceof ReplicatedEntry.OpenSession open) {
            out.u8(OPEN_SESSION).i32(open.member()).i64(open.nonce()).i32(open.ttlMillis());
        } else if (entry instanceof ReplicatedEntry.RunCommand run) {
            out.u8(RUN_COMMAND)
                    .i64(run.session())
                    .i64(run.sequence())
                    .i64(run.acknowledgedSequence())
                    .text(run.machine())
                    .blob(run.body());
        } else if (entry instanceof ReplicatedEntry.KeepAlive keepAlive) {
            out.u8(KEEP_ALIVE).i64(keepAlive.session());
        } else if (entry instanceof ReplicatedEntry.CloseSession close) {
            out.u8(CLOSE_SESSION).i64(close.session());
        }
    }

    private static void encodeLeaderEntry(ReplicatedEntry entry, BinaryCodec.Writer out) {
        if (entry instanceof ReplicatedEntry.EpochStart start) {
            out.u8(EPOCH_START).i32(start.member()).i64(start.nonce());
        } else if (entry instanceof ReplicatedEntry.ExpireSession expire) {
            out.u8(EXPIRE_SESSION)
                    .i64(expire.epoch())
                    .i64(expire.session())
                    .i64(expire.renewedIndex());
        } else if (entry instanceof ReplicatedEntry.LeaderCommand command) {
            out.u8(LEADER_COMMAND)
                    .i64(command.epoch())
                    .text(command.machine())
                    .blob(command.body());
        } else if (entry instanceof ReplicatedEntry.AddVoter add) {
            out.u8(ADD_VOTER).i32(add.member()).i32(add.generation());
        } else if (entry instanceof ReplicatedEntry.RemoveVoter remove) {
            out.u8(REMOVE_VOTER).i32(remove.member()).i32(remove.generation());
        }
    }

    static ReplicatedEntry decode(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("entry", bytes);
        in.requireVersion(VERSION);
        int type = in.u8();
        ReplicatedEntry entry =
                switch (type) {
                    case EPOCH_START -> new ReplicatedEntry.EpochStart(in.i32(), in.i64());
                    case OPEN_SESSION ->
                            new ReplicatedEntry.OpenSession(in.i32(), in.i64(), in.i32());
                    case RUN_COMMAND ->
                            new ReplicatedEntry.RunCommand(
                                    in.i64(),
                                    in.i64(),
                                    in.i64(),
                                    in.text(ReplicatedEntry.MAX_NAME_BYTES),
                                    in.blob(Command.MAX_BODY_BYTES));
                    case KEEP_ALIVE -> new ReplicatedEntry.KeepAlive(in.i64());
                    case CLOSE_SESSION -> new ReplicatedEntry.CloseSession(in.i64());
                    case EXPIRE_SESSION ->
                            new ReplicatedEntry.ExpireSession(in.i64(), in.i64(), in.i64());
                    case LEADER_COMMAND ->
                            new ReplicatedEntry.LeaderCommand(
                                    in.i64(),
                                    in.text(ReplicatedEntry.MAX_NAME_BYTES),
                                    in.blob(Command.MAX_BODY_BYTES));
                    case ADD_VOTER -> new ReplicatedEntry.AddVoter(in.i32(), in.i32());
                    case REMOVE_VOTER -> new ReplicatedEntry.RemoveVoter(in.i32(), in.i32());
                    default -> throw in.malformed("unknown type of entry " + type);
                };
        in.requireEnd();
        return entry;
    }
}
