// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.EventLoop;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.PeerTransport;
import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a {@link VoterRecoveryHandshake} on the voter's links and timer, for as long as the voter
 * runs, and starts or fails the voter by its result. Decides nothing itself; the voter's thread.
 */
final class RecoveryHandshakeTransport {
    /**
     * What the handshake asks of its voter, and does to it.
     *
     * @param hasCommittedState whether the voter's group has committed an entry
     * @param isCommittedVoter whether the group has committed that it is one of its voters
     */
    record VoterHooks(
            BooleanSupplier isStopped,
            BooleanSupplier hasCommittedState,
            BooleanSupplier isCommittedVoter,
            Runnable start,
            Consumer<Throwable> fail) {}

    @FunctionalInterface
    private interface HandshakeStep {
        List<VoterRecoveryHandshake.OutgoingFrame> run() throws IOException;
    }

    private static final int HEARTBEATS_PER_LOG_LINE = 200;
    private static final Logger LOG = LoggerFactory.getLogger(RecoveryHandshakeTransport.class);
    private final Voter self;
    private final VoterRecoveryHandshake handshake;
    private final EventLoop eventLoop;
    private final PeerTransport transport;
    private final long heartbeatNanos;
    private final VoterHooks voter;
    private boolean isVoterStarted;
    private int waitingHeartbeats;

    RecoveryHandshakeTransport(
            Voter self,
            VoterRecoveryHandshake handshake,
            EventLoop eventLoop,
            PeerTransport transport,
            long heartbeatNanos,
            VoterHooks voter) {
        this.self = self;
        this.handshake = handshake;
        this.eventLoop = eventLoop;
        this.transport = transport;
        this.heartbeatNanos = heartbeatNanos;
        this.voter = voter;
    }

    VoterRecoveryHandshake handshake() {
        return handshake;
    }

    /** One heartbeat; schedules the next one until the voter is stopped. */
    void tick() {
        if (voter.isStopped.getAsBoolean()) {
            return;
        }
        run(handshake::onHeartbeat);
        if (!isVoterStarted) {
            waitingHeartbeats++;
            if (waitingHeartbeats % HEARTBEATS_PER_LOG_LINE == 0) {
                LOG.warn("voter {} waits for its peers: {}", self, handshake.reason());
            }
        }
        eventLoop.schedule(this::tick, heartbeatNanos);
    }

    /** A message of a peer; any but those of the handshake is ignored. */
    void onMessage(int from, MemberMessage message) {
        boolean hasCommittedState = voter.hasCommittedState.getAsBoolean();
        if (message instanceof MemberMessage.RecoveryRequest request) {
            run(() -> List.of(handshake.onRequest(from, request, hasCommittedState)));
        } else if (message instanceof MemberMessage.RecoveryResponse answer) {
            run(
                    () -> {
                        handshake.onAnswer(from, answer, hasCommittedState);
                        return List.of();
                    });
        }
    }

    private void run(HandshakeStep step) {
        try {
            step.run().forEach(frame -> transport.send(frame.member(), frame.frame()));
            if (isVoterStarted && voter.isCommittedVoter.getAsBoolean()) {
                handshake.onCommittedVoter();
            }
        } catch (IOException e) {
            voter.fail.accept(e);
            return;
        }
        if (handshake.error() != null) {
            voter.fail.accept(handshake.error());
        } else if (!isVoterStarted && handshake.mayStart()) {
            isVoterStarted = true;
            voter.start.run();
        }
    }
}
