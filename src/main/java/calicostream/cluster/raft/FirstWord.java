// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.Frame;
import calicostream.cluster.Links;
import calicostream.cluster.Reactor;
import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The shell of a {@link Recall}: its frames and beats, on the voter's thread, for as long as the
 * voter lives; no choice is made here.
 */
final class FirstWord {
    /** What it asks of, and tells, the voter. */
    record Hooks(
            BooleanSupplier isStopped,
            BooleanSupplier isGrouped,
            BooleanSupplier isVoter,
            Runnable begin,
            Consumer<Throwable> fail) {}

    private interface Step {
        List<Recall.Send> run() throws IOException;
    }

    /** A line of the log so many beats. */
    private static final int LINE = 200;

    private static final Logger LOG = LoggerFactory.getLogger(VoterNode.class);

    private final Voter self;
    private final Recall recall;
    private final Reactor reactor;
    private final Links links;
    private final long beatNanos;
    private final Hooks hooks;
    private boolean begun;
    private int beats;

    FirstWord(
            Voter self, Recall recall, Reactor reactor, Links links, long beatNanos, Hooks hooks) {
        this.self = self;
        this.recall = recall;
        this.reactor = reactor;
        this.links = links;
        this.beatNanos = beatNanos;
        this.hooks = hooks;
    }

    Recall recall() {
        return recall;
    }

    void beat() {
        if (!hooks.isStopped.getAsBoolean()) {
            step(recall::beat);
            if (!begun && ++beats % LINE == 0) {
                LOG.warn("voter {} waits for its peers' word: {}", self, recall.reason());
            }
            reactor.schedule(this::beat, beatNanos);
        }
    }

    void received(int from, Frame frame) {
        boolean grouped = hooks.isGrouped.getAsBoolean();
        if (frame instanceof Frame.Recall asks) {
            step(() -> recall.received(from, asks, grouped));
        } else if (frame instanceof Frame.Recalled told) {
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
                recall.isVoter();
            }
        } catch (IOException e) {
            hooks.fail.accept(e);
            return;
        }
        if (recall.error() != null) {
            hooks.fail.accept(recall.error());
        } else if (!begun && recall.mayBegin()) {
            begun = true;
            hooks.begin.run();
        }
    }
}
