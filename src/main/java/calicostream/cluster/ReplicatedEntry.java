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
    int MAX_NAME = 64;

    /** A leader starts; {@code nonce} lets it know its own. The entry's index becomes the era. */
    record Era(int member, long nonce) implements ReplicatedEntry {}

    /**
     * A member asks for a session; the same {@code nonce} again gets the same session while that
     * one is alive.
     */
    record Open(int member, long nonce, int ttlMillis) implements ReplicatedEntry {}

    /**
     * A command for a machine; answers up to and including {@code acked} are no longer needed by
     * the sender.
     */
    record Run(long session, long sequence, long acked, String machine, byte[] body)
            implements ReplicatedEntry {}

    /** The member is there. */
    record Keep(long session) implements ReplicatedEntry {}

    /** The member is done. */
    record Close(long session) implements ReplicatedEntry {}

    /**
     * The leader of {@code era} counted the session's time since the entry {@code renewed}, and it
     * is over.
     */
    record Expire(long era, long session, long renewed) implements ReplicatedEntry {}

    /** What a {@link ExpiryMonitor} of the leader of {@code era} found. */
    record Timed(long era, String machine, byte[] body) implements ReplicatedEntry {}

    /**
     * The leader is about to add this voter, or to promote it; refused if it must not come back.
     */
    record AddVoter(int member, int generation) implements ReplicatedEntry {}

    /** The leader is about to remove this voter: it is never added again. */
    record RemoveVoter(int member, int generation) implements ReplicatedEntry {}

    /** Only a leader makes it, from its own state; refused if a member sends it. */
    default boolean ofLeader() {
        return this instanceof Era
                || this instanceof Expire
                || this instanceof Timed
                || this instanceof AddVoter
                || this instanceof RemoveVoter;
    }

    default byte[] encode() {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION);
        if (this instanceof Era e) {
            out.u8(1).i32(e.member).i64(e.nonce);
        } else if (this instanceof Open e) {
            out.u8(2).i32(e.member).i64(e.nonce).i32(e.ttlMillis);
        } else if (this instanceof Run e) {
            out.u8(3).i64(e.session).i64(e.sequence).i64(e.acked).text(e.machine).blob(e.body);
        } else if (this instanceof Keep e) {
            out.u8(4).i64(e.session);
        } else if (this instanceof Close e) {
            out.u8(5).i64(e.session);
        } else if (this instanceof Expire e) {
            out.u8(6).i64(e.era).i64(e.session).i64(e.renewed);
        } else if (this instanceof Timed e) {
            out.u8(7).i64(e.era).text(e.machine).blob(e.body);
        } else if (this instanceof AddVoter e) {
            out.u8(8).i32(e.member).i32(e.generation);
        } else if (this instanceof RemoveVoter e) {
            out.u8(9).i32(e.member).i32(e.generation);
        }
        return out.done();
    }

    /**
     * @throws ClusterException.Malformed if the bytes are no entry of this version
     */
    static ReplicatedEntry decode(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("entry", bytes);
        in.version(VERSION);
        int kind = in.u8();
        ReplicatedEntry entry =
                switch (kind) {
                    case 1 -> new Era(in.i32(), in.i64());
                    case 2 -> new Open(in.i32(), in.i64(), in.i32());
                    case 3 ->
                            new Run(
                                    in.i64(),
                                    in.i64(),
                                    in.i64(),
                                    in.text(MAX_NAME),
                                    in.blob(Command.MAX_BODY));
                    case 4 -> new Keep(in.i64());
                    case 5 -> new Close(in.i64());
                    case 6 -> new Expire(in.i64(), in.i64(), in.i64());
                    case 7 -> new Timed(in.i64(), in.text(MAX_NAME), in.blob(Command.MAX_BODY));
                    case 8 -> new AddVoter(in.i32(), in.i32());
                    case 9 -> new RemoveVoter(in.i32(), in.i32());
                    default -> throw in.malformed("no entry is of kind " + kind);
                };
        in.end();
        return entry;
    }
}
