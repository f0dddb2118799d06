// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Attempt;
import calicostream.core.Gateway;
import calicostream.net.SelectorLoop;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.SettingsParser.ConnectionSettings;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Owns a gRPC channel to each engine. An attempt starts only on a channel that is ready: until then
 * nothing of it has been sent, so a failure to connect proves that it never ran, and a drain can
 * still cancel it. Only the event loop may call the methods.
 */
public final class EngineChannels {
    private final SelectorLoop loop;
    private final ConnectionSettings settings;
    private final Function<InetSocketAddress, ManagedChannel> dial;
    private final Map<Long, EngineChannel> engineChannels = new HashMap<>();
    private final AtomicLong connections = new AtomicLong();
    private LongConsumer connectionEndListener = engine -> {};
    private Gateway gateway;

    /** An attempt that starts once its engine's channel is ready. */
    private record WaitingAttempt(Attempt attempt, Consumer<ManagedChannel> starter) {}

    /** The channel to one engine, with the attempts that wait for it. */
    private static final class EngineChannel {
        private final InetSocketAddress address;
        private final ManagedChannel channel;
        private final List<WaitingAttempt> waiting = new ArrayList<>();
        private ConnectivityState lastState;
        private volatile long connection;

        EngineChannel(InetSocketAddress address, ManagedChannel channel, long connection) {
            this.address = address;
            this.channel = channel;
            this.connection = connection;
        }
    }

    /**
     * Starts without channels.
     *
     * @param dial makes the channel to an address; retries are the router's, so the channel must
     *     have {@code disableRetry()}
     */
    public EngineChannels(
            SelectorLoop loop,
            ConnectionSettings settings,
            Function<InetSocketAddress, ManagedChannel> dial) {
        this.loop = loop;
        this.settings = settings;
        this.dial = dial;
    }

    /** Sets where starts and failures of attempts are reported; called before anything else. */
    public void attach(Gateway newGateway) {
        gateway = newGateway;
    }

    /**
     * Sets who is told of each end of a connection to an engine, and of each replaced channel: what
     * the engine's process held for this front end may be gone, and its names may be another's in
     * the next process at the address. Told on the event loop, before any attempt starts on the
     * next connection.
     */
    public void setConnectionEndListener(LongConsumer listener) {
        connectionEndListener = listener;
    }

    /**
     * The number of an engine's connection, or of the next one if there is none now; unique in this
     * process. 0 if the engine is not known. Thread-safe for engines that stay known.
     */
    public LongSupplier connectionNumber(long engine) {
        EngineChannel target = engineChannels.get(engine);
        return target == null ? () -> 0 : () -> target.connection;
    }

    /** Sets where an engine listens; a changed address replaces its channel. */
    public void setAddress(long engine, InetSocketAddress address) {
        EngineChannel old = engineChannels.get(engine);
        if (old == null || !old.address.equals(address)) {
            replace(engine, old, address);
        }
    }

    private void replace(long engine, EngineChannel old, InetSocketAddress address) {
        EngineChannel fresh =
                new EngineChannel(address, dial.apply(address), connections.incrementAndGet());
        engineChannels.put(engine, fresh);
        watchConnection(engine, fresh, ConnectivityState.IDLE);
        if (old != null) {
            failWaiting(old);
            // An orderly shutdown: calls in flight may complete.
            old.channel.shutdown();
            connectionEndListener.accept(engine);
        }
    }

    /** Called by the channel's threads. */
    private void watchConnection(long engine, EngineChannel target, ConnectivityState last) {
        target.channel.notifyWhenStateChanged(
                last,
                () -> {
                    ConnectivityState state = target.channel.getState(false);
                    if (last == ConnectivityState.READY && state != ConnectivityState.READY) {
                        target.connection = connections.incrementAndGet();
                        loop.post(() -> connectionEnded(engine, target));
                    }
                    if (state != ConnectivityState.SHUTDOWN) {
                        watchConnection(engine, target, state);
                    }
                });
    }

    private void connectionEnded(long engine, EngineChannel target) {
        if (engineChannels.get(engine) == target) {
            connectionEndListener.accept(engine);
        }
    }

    /** Replaces the channel of an engine, so that new calls use no connection from before. */
    public void engineReinstated(long engine) {
        EngineChannel old = engineChannels.get(engine);
        if (old != null) {
            replace(engine, old, old.address);
        }
    }

    /**
     * Runs {@code starter} once the engine's channel is ready, or ends the attempt as {@link
     * AttemptOutcome#CONNECT_FAILED}.
     */
    public void start(Attempt attempt, Consumer<ManagedChannel> starter) {
        EngineChannel target = engineChannels.get(attempt.engine());
        if (target == null) {
            gateway.attemptEnded(attempt, AttemptOutcome.CONNECT_FAILED, null, null);
        } else if (target.channel.getState(true) == ConnectivityState.READY) {
            startNow(target, new WaitingAttempt(attempt, starter));
        } else {
            startWhenReady(target, new WaitingAttempt(attempt, starter));
        }
    }

    private void startNow(EngineChannel target, WaitingAttempt ready) {
        ready.starter.accept(target.channel);
        // gRPC does not report the write itself: a start on a ready channel counts as one.
        gateway.attemptWritten(ready.attempt);
    }

    private void startWhenReady(EngineChannel target, WaitingAttempt waiting) {
        target.waiting.add(waiting);
        target.channel.resetConnectBackoff();
        watchState(target);
        long dialDeadline = loop.clock().now() + settings.dialTimeoutUs();
        loop.deadlines().add(dialDeadline, (now, reference) -> failIfWaiting(target, waiting), 0);
    }

    /** The engine's channel if it is ready now, else null. */
    public ManagedChannel readyChannel(long engine) {
        EngineChannel target = engineChannels.get(engine);
        if (target == null || target.channel.getState(false) != ConnectivityState.READY) {
            return null;
        }
        return target.channel;
    }

    /**
     * Cancels an attempt that waits for its channel.
     *
     * @return false: it does not wait, so it may have been sent
     */
    public boolean cancelUnsent(Attempt attempt) {
        EngineChannel target = engineChannels.get(attempt.engine());
        return target != null && target.waiting.removeIf(each -> each.attempt == attempt);
    }

    /** Ends the attempts that wait for the channel of a draining engine. */
    public void engineDraining(long engine) {
        EngineChannel target = engineChannels.get(engine);
        if (target != null) {
            failWaiting(target);
        }
    }

    /**
     * Closes the channel of a removed engine at once and its calls with it: calls to a machine that
     * is cut off would never end by themselves.
     */
    public void engineRemoved(long engine) {
        EngineChannel removed = engineChannels.remove(engine);
        if (removed != null) {
            failWaiting(removed);
            removed.channel.shutdownNow();
        }
    }

    /** Closes all channels at once, with their calls. */
    public void close() {
        engineChannels.values().forEach(each -> each.channel.shutdownNow());
    }

    private void failWaiting(EngineChannel target) {
        List.copyOf(target.waiting).forEach(each -> failIfWaiting(target, each));
    }

    private void failIfWaiting(EngineChannel target, WaitingAttempt waiting) {
        if (target.waiting.remove(waiting)) {
            gateway.attemptEnded(waiting.attempt, AttemptOutcome.CONNECT_FAILED, null, null);
        }
    }

    /** Acts on the channel's state, and again on each change while attempts wait for it. */
    private void watchState(EngineChannel target) {
        ConnectivityState state = target.channel.getState(true);
        if (state == ConnectivityState.READY) {
            List<WaitingAttempt> ready = List.copyOf(target.waiting);
            target.waiting.clear();
            ready.forEach(each -> startNow(target, each));
        } else if (state == ConnectivityState.TRANSIENT_FAILURE
                && target.lastState == ConnectivityState.CONNECTING) {
            failWaiting(target);
        }
        target.lastState = state;
        if (!target.waiting.isEmpty()) {
            target.channel.notifyWhenStateChanged(state, () -> loop.post(() -> watchState(target)));
        }
    }
}
