// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;

/**
 * The answer to a command that was accepted. Immutable. A command that was not accepted is answered
 * by a {@link LeaseRejection} instead.
 */
public sealed interface LeaseAnswer {
    /** Encodes the answer: one byte for its kind, then its fields. */
    byte[] encode();

    /**
     * The sender holds the lease under this token, for one time to live from the time of its
     * request.
     */
    record Held(long token) implements LeaseAnswer {
        private static final int KIND = 1;

        @Override
        public byte[] encode() {
            return new BinaryCodec.Writer().u8(KIND).i64(token).toByteArray();
        }
    }

    /**
     * The sender is queued. Its grant will be announced by an event and must be renewed before it
     * is used.
     *
     * @param position position in the queue; 1 is the next to be granted the lease
     */
    record Queued(int position) implements LeaseAnswer {
        private static final int KIND = 2;

        @Override
        public byte[] encode() {
            return new BinaryCodec.Writer().u8(KIND).i32(position).toByteArray();
        }
    }

    /** The command was executed. */
    record Done() implements LeaseAnswer {
        private static final int KIND = 3;

        @Override
        public byte[] encode() {
            return new BinaryCodec.Writer().u8(KIND).toByteArray();
        }
    }

    /**
     * Decodes an answer.
     *
     * @throws calicostream.cluster.ClusterException.Malformed if the bytes are not an answer
     */
    static LeaseAnswer decode(byte[] body) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("lease answer", body);
        int kind = in.u8();
        LeaseAnswer answer =
                switch (kind) {
                    case Held.KIND -> new Held(in.i64());
                    case Queued.KIND -> new Queued(in.i32());
                    case Done.KIND -> new Done();
                    default -> throw in.malformed("unknown answer kind " + kind);
                };
        in.requireEnd();
        return answer;
    }
}
