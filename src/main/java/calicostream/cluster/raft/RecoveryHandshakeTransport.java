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
 * The shell of a {@link VoterRecoveryHandshake}: its frames and beats, on the voter's thread, for
 * as long as the voter lives; no choice is made here.
 */
final class RecoveryHandshakeTransport {
    /** What it asks of, and tells, the voter. */
    record Hooks(
            BooleanSupplier isStopped,
            BooleanSupplier isGrouped,
            BooleanSupplier isVoter,
            Runnable begin,
            Consumer<Throwable> fail) {}

    private interface Step {
        List<VoterRecoveryHandshake.OutgoingFrame> run() throws IOException;
    }

    /** A line of the log so many beats. */
    private static final int LINE = 200;

    private static final Logger LOG = LoggerFactory.getLogger(VoterNode.class);

    private final Voter self;
    private final VoterRecoveryHandshake recall;
    private final EventLoop reactor;
    private final PeerTransport links;
    private final long beatNanos;
    private final Hooks hooks;
    private boolean begun;
    private int beats;

    RecoveryHandshakeTransport(
            Voter self,
            VoterRecoveryHandshake recall,
            EventLoop reactor,
            PeerTransport links,
            long beatNanos,
            Hooks hooks) {
        this.self = self;
        this.recall = recall;
        this.reactor = reactor;
        this.links = links;
        this.beatNanos = beatNanos;
        this.hooks = hooks;
    }

    VoterRecoveryHandshake recall() {
        return recall;
    }

    void beat() {
        if (!hooks.isStopped.getAsBoolean()) {
            step(recall::onHeartbeat);
            if (!begun && ++beats % LINE == 0) {
                LOG.warn("voter {} waits for its peers' word: {}", self, recall.reason());
            }
            reactor.schedule(this::beat, beatNanos);
        }
    }

    void received(int from, MemberMessage frame) {
        boolean grouped = hooks.isGrouped.getAsBoolean();
        if (frame instanceof MemberMessage.RecoveryRequest asks) {
            step(() -> recall.received(from, asks, grouped));
        } else if (frame instanceof MemberMessage.RecoveryResponse told) {
            step(
                    () -> {
                        recall.received(from, told, grouped);
                        return List.of();
                    });
        }
    }

    private void step(Step step) {
        try {
            step.run().forEach(send -> links.send(send.member(), send.frame()));
            if (begun && hooks.isVoter.getAsBoolean()) {
                recall.onAdmitted();
            }
        } catch (IOException e) {
            hooks.fail.accept(e);
            return;
        }
        if (recall.error() != null) {
            hooks.fail.accept(recall.error());
        } else if (!begun && recall.mayStart()) {
            begun = true;
            hooks.begin.run();
        }
    }
}
