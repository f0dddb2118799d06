// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;

/**
 * Commands of members and of the leader to {@link LeaseStateMachine}, with their encoding as the
 * body of a log command. Immutable. Tokens come from the machine's answers and events alone.
 */
public sealed interface LeaseCommand {
    /** The lease that the command concerns; empty for {@link RaiseTokenFloor}. */
    String name();

    /** The encoding: a byte with the command's kind, then its fields. */
    byte[] encode();

    /**
     * Requests the lease.
     *
     * @param ttlNanos time to live of the grant, in nanoseconds
     * @param queueIfHeld whether the session queues while another holds the lease; else the command
     *     is rejected
     */
    record Acquire(String name, long ttlNanos, boolean queueIfHeld) implements LeaseCommand {
        private static final int KIND = 1;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(ttlNanos).u8(queueIfHeld ? 1 : 0).toByteArray();
        }
    }

    /**
     * Extends the grant by another time to live; also confirms a grant from the queue, which may be
     * used only after that.
     */
    record Renew(String name, long token) implements LeaseCommand {
        private static final int KIND = 2;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(token).toByteArray();
        }
    }

    /** Ends the grant; the sender has stopped acting. */
    record Release(String name, long token) implements LeaseCommand {
        private static final int KIND = 3;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(token).toByteArray();
        }
    }

    /** Leaves the queue. */
    record Withdraw(String name) implements LeaseCommand {
        private static final int KIND = 4;

        @Override
        public byte[] encode() {
            return header(KIND, name).toByteArray();
        }
    }

    /**
     * Ends the grant in favour of a queued session; the sender has stopped acting.
     *
     * @param successor the session that is granted the lease next, or {@link #FIRST_WAITER}
     */
    record Transfer(String name, long token, long successor) implements LeaseCommand {
        private static final int KIND = 5;

        /** Stands for the first session of the queue. */
        public static final long FIRST_WAITER = 0;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(token).i64(successor).toByteArray();
        }
    }

    /**
     * An action of the holder in the log, which all members observe; it is rejected where it is
     * applied if the token is outdated.
     *
     * @param payload defined by the task; not copied
     */
    record FencedAction(String name, long token, byte[] payload) implements LeaseCommand {
        private static final int KIND = 6;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(token).blob(payload).toByteArray();
        }
    }

    /**
     * By the leader alone: ends a grant that has expired, unless it was renewed since.
     *
     * @param renewals how often the grant had been renewed when the leader found it expired
     */
    record Expire(String name, long token, long renewals) implements LeaseCommand {
        private static final int KIND = 7;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(token).i64(renewals).toByteArray();
        }
    }

    /**
     * By the leader alone, after a state was restored by hand from an older copy.
     *
     * @param floor all later tokens are greater
     */
    record RaiseTokenFloor(long floor) implements LeaseCommand {
        private static final int KIND = 8;

        @Override
        public String name() {
            return "";
        }

        @Override
        public byte[] encode() {
            return new BinaryCodec.Writer().u8(KIND).i64(floor).toByteArray();
        }
    }

    private static BinaryCodec.Writer header(int kind, String name) {
        return new BinaryCodec.Writer().u8(kind).text(name);
    }

    /**
     * Decodes a command.
     *
     * @throws calicostream.cluster.ClusterException.Malformed if the bytes are not a lease command
     */
    static LeaseCommand decode(byte[] body) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("lease command", body);
        int kind = in.u8();
        LeaseCommand command =
                switch (kind) {
                    case Acquire.KIND -> new Acquire(name(in), in.i64(), in.u8() != 0);
                    case Renew.KIND -> new Renew(name(in), in.i64());
                    case Release.KIND -> new Release(name(in), in.i64());
                    case Withdraw.KIND -> new Withdraw(name(in));
                    case Transfer.KIND -> new Transfer(name(in), in.i64(), in.i64());
                    case FencedAction.KIND ->
                            new FencedAction(
                                    name(in), in.i64(), in.blob(LeaseLimits.MAX_PAYLOAD_BYTES));
                    case Expire.KIND -> new Expire(name(in), in.i64(), in.i64());
                    case RaiseTokenFloor.KIND -> new RaiseTokenFloor(in.i64());
                    default -> throw in.malformed("no command has the kind " + kind);
                };
        in.requireEnd();
        return command;
    }

    private static String name(BinaryCodec.Reader in) {
        return in.text(LeaseLimits.MAX_NAME_BYTES);
    }
}
