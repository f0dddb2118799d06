// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.MemberMessage;
import calicostream.cluster.PeerTransport;
import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.util.function.Predicate;

/** The consensus library's transport over the member's links; the voter's thread. */
final class RaftMessageSender implements Transport {
    private final PeerTransport transport;
    private final Predicate<RaftMessage> maySend;

    /**
     * Creates a sender.
     *
     * @param maySend asked for each message; what it refuses is dropped, as a link might
     */
    RaftMessageSender(PeerTransport transport, Predicate<RaftMessage> maySend) {
        this.transport = transport;
        this.maySend = maySend;
    }

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
        if (!maySend.test(message)) {
            return;
        }
        Voter voter = (Voter) target;
        MemberMessage.RaftMessage frame =
                new MemberMessage.RaftMessage(voter.generation(), RaftMessageCodec.encode(message));
        transport.send(voter.member(), frame.encode());
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return true;
    }
}
