// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * One entry of the replicated log as {@link ReplicatedState} applies it. The encoding starts with
 * its version and a kind; an entry of another version in the log stops a voter, since guessing
 * would make copies differ. Immutable.
 */
public sealed interface ReplicatedEntry {
    /** Of the encoding. */
    int VERSION = 1;

    /** The longest name of a machine, in bytes. */
    int MAX_NAME_BYTES = 64;

    /** A leader starts; {@code nonce} lets it know its own. The entry's index becomes the era. */
    record EpochStart(int member, long nonce) implements ReplicatedEntry {}

    /**
     * A member asks for a session; the same {@code nonce} again gets the same session while that
     * one is alive.
     */
    record OpenSession(int member, long nonce, int ttlMillis) implements ReplicatedEntry {}

    /**
     * A command for a machine; answers up to and including {@code acked} are no longer needed by
     * the sender.
     */
    record RunCommand(
            long session, long sequence, long acknowledgedSequence, String machine, byte[] body)
            implements ReplicatedEntry {}

    /** The member is there. */
    record KeepAlive(long session) implements ReplicatedEntry {}

    /** The member is done. */
    record CloseSession(long session) implements ReplicatedEntry {}

    /**
     * The leader of {@code era} counted the session's time since the entry {@code renewed}, and it
     * is over.
     */
    record ExpireSession(long epoch, long session, long renewedIndex) implements ReplicatedEntry {}

    /** What a {@link ExpiryMonitor} of the leader of {@code era} found. */
    record LeaderCommand(long epoch, String machine, byte[] body) implements ReplicatedEntry {}

    /**
     * The leader is about to add this voter, or to promote it; refused if it must not come back.
     */
    record AddVoter(int member, int generation) implements ReplicatedEntry {}

    /** The leader is about to remove this voter: it is never added again. */
    record RemoveVoter(int member, int generation) implements ReplicatedEntry {}

    /** Only a leader makes it, from its own state; refused if a member sends it. */
    default boolean isLeaderOnly() {
        return this instanceof EpochStart
                || this instanceof ExpireSession
                || this instanceof LeaderCommand
                || this instanceof AddVoter
                || this instanceof RemoveVoter;
    }

    default byte[] encode() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION);
        if (this instanceof EpochStart e) {
            out.u8(1).i32(e.member).i64(e.nonce);
        } else if (this instanceof OpenSession e) {
            out.u8(2).i32(e.member).i64(e.nonce).i32(e.ttlMillis);
        } else if (this instanceof RunCommand e) {
            out.u8(3)
                    .i64(e.session)
                    .i64(e.sequence)
                    .i64(e.acknowledgedSequence)
                    .text(e.machine)
                    .blob(e.body);
        } else if (this instanceof KeepAlive e) {
            out.u8(4).i64(e.session);
        } else if (this instanceof CloseSession e) {
            out.u8(5).i64(e.session);
        } else if (this instanceof ExpireSession e) {
            out.u8(6).i64(e.epoch).i64(e.session).i64(e.renewedIndex);
        } else if (this instanceof LeaderCommand e) {
            out.u8(7).i64(e.epoch).text(e.machine).blob(e.body);
        } else if (this instanceof AddVoter e) {
            out.u8(8).i32(e.member).i32(e.generation);
        } else if (this instanceof RemoveVoter e) {
            out.u8(9).i32(e.member).i32(e.generation);
        }
        return out.toByteArray();
    }

    /**
     * @throws ClusterException.Malformed if the bytes are no entry of this version
     */
    static ReplicatedEntry decode(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("entry", bytes);
        in.requireVersion(VERSION);
        int kind = in.u8();
        ReplicatedEntry entry =
                switch (kind) {
                    case 1 -> new EpochStart(in.i32(), in.i64());
                    case 2 -> new OpenSession(in.i32(), in.i64(), in.i32());
                    case 3 ->
                            new RunCommand(
                                    in.i64(),
                                    in.i64(),
                                    in.i64(),
                                    in.text(MAX_NAME_BYTES),
                                    in.blob(Command.MAX_BODY_BYTES));
                    case 4 -> new KeepAlive(in.i64());
                    case 5 -> new CloseSession(in.i64());
                    case 6 -> new ExpireSession(in.i64(), in.i64(), in.i64());
                    case 7 ->
                            new LeaderCommand(
                                    in.i64(),
                                    in.text(MAX_NAME_BYTES),
                                    in.blob(Command.MAX_BODY_BYTES));
                    case 8 -> new AddVoter(in.i32(), in.i32());
                    case 9 -> new RemoveVoter(in.i32(), in.i32());
                    default -> throw in.malformed("no entry is of kind " + kind);
                };
        in.requireEnd();
        return entry;
    }
}
