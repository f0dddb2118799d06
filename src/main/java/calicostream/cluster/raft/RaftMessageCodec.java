// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.RaftMessage;

/**
 * Encodes the consensus library's messages as bytes and decodes them again. Stateless, any thread.
 * Each message starts with the version, its kind, the sender and the term.
 */
final class RaftMessageCodec {
    static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();
    static final Object GROUP_ID = "calicostream";
    private static final int VERSION = 1;

    private RaftMessageCodec() {}

    /** Encodes a message for {@link #decode}. */
    static byte[] encode(RaftMessage message) {
        RaftMessageKind kind = RaftMessageKind.of(message);
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION).u8(kind.wireNumber());
        RaftLogCodec.writeVoter(out, message.getSender());
        out.i32(message.getTerm());
        new RaftMessageEncoder(out).writeBody(kind, message);
        return out.toByteArray();
    }

    /**
     * Decodes what {@link #encode} made.
     *
     * @throws ClusterException.Malformed if the bytes are anything else
     */
    static RaftMessage decode(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("message", bytes);
        in.requireVersion(VERSION);
        int wireNumber = in.u8();
        RaftEndpoint sender = RaftLogCodec.readVoter(in);
        int term = in.i32();
        RaftMessageKind kind = RaftMessageKind.ofWireNumber(wireNumber);
        if (kind == null) {
            throw in.malformed("no message is of kind " + wireNumber);
        }
        RaftMessage message = new RaftMessageDecoder(in, sender, term).readBody(kind);
        in.requireEnd();
        return message;
    }
}
