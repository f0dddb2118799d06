// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;

/**
 * What the sender of a command that was accepted is told. Immutable. A refusal is a {@link
 * LeaseRejection} instead.
 */
public sealed interface LeaseAnswer {
    /** It holds, under this token, for a time to live that counts from before it asked. */
    record Holds(long token) implements LeaseAnswer {}

    /**
     * It waits; {@code place} is 1 for the next. A grant comes as an event and must be renewed
     * before it is used.
     */
    record Waits(int place) implements LeaseAnswer {}

    /** Done, nothing more to say. */
    record Done() implements LeaseAnswer {}

    default byte[] encode() {
        if (this instanceof Holds h) {
            return new BinaryCodec.Writer().u8(1).i64(h.token).toByteArray();
        }
        return this instanceof Waits w
                ? new BinaryCodec.Writer().u8(2).i32(w.place).toByteArray()
                : new BinaryCodec.Writer().u8(3).toByteArray();
    }

    /**
     * @throws calicostream.cluster.ClusterException.Malformed if the bytes are no answer
     */
    static LeaseAnswer decode(byte[] body) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("lease answer", body);
        int kind = in.u8();
        LeaseAnswer answer =
                switch (kind) {
                    case 1 -> new Holds(in.i64());
                    case 2 -> new Waits(in.i32());
                    case 3 -> new Done();
                    default -> throw in.malformed("no answer has the kind " + kind);
                };
        in.requireEnd();
        return answer;
    }
}
