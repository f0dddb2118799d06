// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;

/**
 * A command of a member or of the leader to {@link LeaseStateMachine}, with its encoding as the
 * body of a log command. Immutable. Tokens are only ever taken from the state machine's answers and
 * events.
 */
public sealed interface LeaseCommand {
    /** The lease that the command concerns; empty for {@link RaiseTokenFloor}. */
    String name();

    /** Encodes the command: one byte for its kind, then its fields. */
    byte[] encode();

    /**
     * Requests the lease.
     *
     * @param ttlNanos time to live of the grant, in nanoseconds
     * @param queueIfHeld whether the session is queued if another session holds the lease;
     *     otherwise the command is rejected
     */
    record Acquire(String name, long ttlNanos, boolean queueIfHeld) implements LeaseCommand {
        private static final int KIND = 1;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(ttlNanos).u8(queueIfHeld ? 1 : 0).toByteArray();
        }
    }

    /**
     * Extends the grant by another time to live. Also confirms a grant to a queued session, which
     * must not use the grant before.
     */
    record Renew(String name, long token) implements LeaseCommand {
        private static final int KIND = 2;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(token).toByteArray();
        }
    }

    /** Ends the grant. The sender has already stopped acting under it. */
    record Release(String name, long token) implements LeaseCommand {
        private static final int KIND = 3;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(token).toByteArray();
        }
    }

    /** Removes the sender from the queue. */
    record Withdraw(String name) implements LeaseCommand {
        private static final int KIND = 4;

        @Override
        public byte[] encode() {
            return header(KIND, name).toByteArray();
        }
    }

    /**
     * Ends the grant in favour of a queued session. The sender has already stopped acting under it.
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
     * An action that the holder takes in the log and that all members observe. It is rejected when
     * it is applied if its token is outdated.
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
     * Ends a grant that has expired, unless it was renewed in the meantime. Sent by the leader
     * only.
     *
     * @param renewals number of renewals of the grant when the leader found it expired
     */
    record Expire(String name, long token, long renewals) implements LeaseCommand {
        private static final int KIND = 7;

        @Override
        public byte[] encode() {
            return header(KIND, name).i64(token).i64(renewals).toByteArray();
        }
    }

    /**
     * Raises the lower bound of future tokens after an operator has restored an older copy of the
     * state. Sent by the leader only.
     *
     * @param floor all tokens granted later are greater than this
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
                    // Stored in replicated state: all versions must write the same text.
                    default -> throw in.malformed("no command has the kind " + kind);
                };
        in.requireEnd();
        return command;
    }

    private static String name(BinaryCodec.Reader in) {
        return in.text(LeaseLimits.MAX_NAME_BYTES);
    }
}
