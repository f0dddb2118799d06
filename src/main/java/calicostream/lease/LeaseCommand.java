// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;

/**
 * What members and the leader ask of {@link LeaseMachine}, with its encoding as the body of a
 * command. Immutable; spans are nanoseconds. Names are the fleet's, tokens come from the machine's
 * answers and events alone.
 */
public sealed interface LeaseCommand {
    /** The lease that it is about; empty for {@link RaiseTokens}. */
    String name();

    /**
     * Wants to hold; {@code queue}: it waits its turn, first come first served, else it is refused
     * while another holds.
     */
    record Acquire(String name, long ttl, boolean queue) implements LeaseCommand {}

    /**
     * Holds on for another time to live; also the confirmation that makes a grant from the queue
     * usable.
     */
    record Renew(String name, long token) implements LeaseCommand {}

    /** Has stopped acting and holds no longer. */
    record Release(String name, long token) implements LeaseCommand {}

    /** Does not want to wait any longer. */
    record Withdraw(String name) implements LeaseCommand {}

    /**
     * Has stopped acting; session {@code to}, which waits, comes next, or the first of the queue if
     * it is 0.
     */
    record Transfer(String name, long token, long to) implements LeaseCommand {}

    /**
     * An act of the holder that is told to all; the token decides where it is applied. {@code
     * payload} is the task's own.
     */
    record Act(String name, long token, byte[] payload) implements LeaseCommand {}

    /** By the leader alone: the grant, as renewed so many times, has run out. */
    record Expire(String name, long token, long renewals) implements LeaseCommand {}

    /** After a state was restored by hand from an older copy: no later token is this or less. */
    record RaiseTokens(long least) implements LeaseCommand {
        @Override
        public String name() {
            return "";
        }
    }

    default byte[] encode() {
        BinaryCodec.Writer out = new BinaryCodec.Writer();
        if (this instanceof Acquire a) {
            out.u8(1).text(a.name).i64(a.ttl).u8(a.queue ? 1 : 0);
        } else if (this instanceof Renew r) {
            out.u8(2).text(r.name).i64(r.token);
        } else if (this instanceof Release r) {
            out.u8(3).text(r.name).i64(r.token);
        } else if (this instanceof Withdraw w) {
            out.u8(4).text(w.name);
        } else if (this instanceof Transfer t) {
            out.u8(5).text(t.name).i64(t.token).i64(t.to);
        } else if (this instanceof Act a) {
            out.u8(6).text(a.name).i64(a.token).blob(a.payload);
        } else if (this instanceof Expire e) {
            out.u8(7).text(e.name).i64(e.token).i64(e.renewals);
        } else if (this instanceof RaiseTokens r) {
            out.u8(8).i64(r.least);
        }
        return out.toByteArray();
    }

    /**
     * @throws calicostream.cluster.ClusterException.Malformed if the bytes are no command of a
     *     lease
     */
    static LeaseCommand decode(byte[] body) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("lease command", body);
        int kind = in.u8();
        LeaseCommand command =
                switch (kind) {
                    case 1 -> new Acquire(in.text(LeaseLimits.NAME), in.i64(), in.u8() != 0);
                    case 2 -> new Renew(in.text(LeaseLimits.NAME), in.i64());
                    case 3 -> new Release(in.text(LeaseLimits.NAME), in.i64());
                    case 4 -> new Withdraw(in.text(LeaseLimits.NAME));
                    case 5 -> new Transfer(in.text(LeaseLimits.NAME), in.i64(), in.i64());
                    case 6 ->
                            new Act(
                                    in.text(LeaseLimits.NAME),
                                    in.i64(),
                                    in.blob(LeaseLimits.PAYLOAD));
                    case 7 -> new Expire(in.text(LeaseLimits.NAME), in.i64(), in.i64());
                    case 8 -> new RaiseTokens(in.i64());
                    default -> throw in.malformed("no command has the kind " + kind);
                };
        in.requireEnd();
        return command;
    }
}
