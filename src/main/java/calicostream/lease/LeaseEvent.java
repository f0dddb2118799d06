// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.CommandEffects;

/**
 * A change of a lease, published by every replica. Delivery is best effort: an event may be late,
 * lost or duplicated, so receivers must not rely on it for correctness. Immutable.
 */
public sealed interface LeaseEvent {
    /** The lease's name. */
    String name();

    /** The fencing token of the grant that the event concerns. */
    long token();

    /**
     * Encodes the event as the state machine emits it, including the sessions that it is addressed
     * to.
     */
    CommandEffects.Event encode();

    /**
     * A session was granted the lease. Addressed to that session, which confirms the grant with
     * {@link LeaseCommand.Renew} if it was queued.
     */
    record Granted(String name, long token, long session) implements LeaseEvent {
        private static final String KIND = "lease-granted";

        @Override
        public CommandEffects.Event encode() {
            byte[] body = header(this).i64(session).toByteArray();
            return new CommandEffects.Event(KIND, body, session);
        }
    }

    /** A grant ended. Not sent to any session; only local observers of a replica receive it. */
    record Ended(String name, long token, EndReason reason) implements LeaseEvent {
        private static final String KIND = "lease-freed";

        @Override
        public CommandEffects.Event encode() {
            return new CommandEffects.Event(KIND, header(this).u8(reason.ordinal()).toByteArray());
        }
    }

    /**
     * An action of the holder was applied. Addressed to all sessions.
     *
     * @param payload defined by the task; not copied
     */
    record ActionPerformed(String name, long token, byte[] payload) implements LeaseEvent {
        private static final String KIND = "lease-acted";

        @Override
        public CommandEffects.Event encode() {
            byte[] body = header(this).blob(payload).toByteArray();
            return new CommandEffects.Event(KIND, body, CommandEffects.Event.ALL_MEMBERS);
        }
    }

    /**
     * Why a grant ended. Encoded by ordinal, so the order of the constants is part of the format.
     */
    enum EndReason {
        /** The holder released it. */
        RELEASED,
        /** The holder transferred it to a successor. */
        TRANSFERRED,
        /** The leader found it expired. */
        EXPIRED
    }

    private static BinaryCodec.Writer header(LeaseEvent event) {
        return new BinaryCodec.Writer().text(event.name()).i64(event.token());
    }

    /**
     * Decodes an event.
     *
     * @throws calicostream.cluster.ClusterException.Malformed if it is not a lease event
     */
    static LeaseEvent decode(CommandEffects.Event event) {
        BinaryCodec.Reader in = new BinaryCodec.Reader(event.kind(), event.body());
        String name = in.text(LeaseLimits.MAX_NAME_BYTES);
        long token = in.i64();
        LeaseEvent decoded =
                switch (event.kind()) {
                    case Granted.KIND -> new Granted(name, token, in.i64());
                    case Ended.KIND -> new Ended(name, token, readReason(in));
                    case ActionPerformed.KIND ->
                            new ActionPerformed(
                                    name, token, in.blob(LeaseLimits.MAX_PAYLOAD_BYTES));
                    default -> throw in.malformed("unknown kind of lease event");
                };
        in.requireEnd();
        return decoded;
    }

    private static EndReason readReason(BinaryCodec.Reader in) {
        int ordinal = in.u8();
        if (ordinal >= EndReason.values().length) {
            throw in.malformed("unknown end reason " + ordinal);
        }
        return EndReason.values()[ordinal];
    }
}
