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
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A gRPC channel to each engine. An attempt starts only on a channel that is up: until then nothing
 * of it has gone out, so a failure to connect proves that it never ran, and a drain can still take
 * it back.
 */
public final class EngineChannels {
    private final SelectorLoop loop;
    private final ConnectionSettings wiring;
    private final Function<InetSocketAddress, ManagedChannel> dial;
    private final Map<Long, Peer> peers = new HashMap<>();
    private Gateway gateway;

    private record Waiting(Attempt attempt, Consumer<ManagedChannel> begin) {}

    private static final class Peer {
        final InetSocketAddress address;
        final ManagedChannel channel;
        final List<Waiting> waiting = new ArrayList<>();
        ConnectivityState seen;

        Peer(InetSocketAddress address, ManagedChannel channel) {
            this.address = address;
            this.channel = channel;
        }
    }

    /** The channels dialled must leave further attempts to the module: {@code disableRetry()}. */
    public EngineChannels(
            SelectorLoop loop,
            ConnectionSettings wiring,
            Function<InetSocketAddress, ManagedChannel> dial) {
        this.loop = loop;
        this.wiring = wiring;
        this.dial = dial;
    }

    public void attach(Gateway to) {
        gateway = to;
    }

    public void locate(long engine, InetSocketAddress address) {
        Peer old = peers.get(engine);
        if (old == null || !old.address.equals(address)) {
            replace(engine, old, address);
        }
    }

    private void replace(long engine, Peer old, InetSocketAddress address) {
        peers.put(engine, new Peer(address, dial.apply(address)));
        if (old != null) {
            takeBack(old);
            old.channel.shutdown(); // What runs on it may finish.
        }
    }

    /** New calls go by a new channel. */
    public void renewed(long engine) {
        Peer old = peers.get(engine);
        if (old != null) {
            replace(engine, old, old.address);
        }
    }

    /** Runs {@code begin} once the engine's channel is up, or ends the attempt as never sent. */
    public void start(Attempt attempt, Consumer<ManagedChannel> begin) {
        Peer peer = peers.get(attempt.engine());
        if (peer == null) {
            gateway.attemptEnded(attempt, AttemptOutcome.CONNECT_FAILED, null, null);
        } else if (peer.channel.getState(true) == ConnectivityState.READY) {
            begin(peer, attempt, begin);
        } else {
            Waiting waiting = new Waiting(attempt, begin);
            peer.waiting.add(waiting);
            peer.channel.resetConnectBackoff();
            watch(peer);
            long patience = loop.clock().now() + wiring.dialTimeoutUs();
            loop.deadlines().add(patience, (now, ref) -> fail(peer, waiting), 0);
        }
    }

    /** The engine's channel if it is up now, else null. */
    public ManagedChannel ready(long engine) {
        Peer peer = peers.get(engine);
        return peer != null && peer.channel.getState(false) == ConnectivityState.READY
                ? peer.channel
                : null;
    }

    /** Whether the attempt had not gone out, and now will not. */
    public boolean takeBack(Attempt attempt) {
        Peer peer = peers.get(attempt.engine());
        return peer != null && peer.waiting.removeIf(each -> each.attempt == attempt);
    }

    public void withdrawn(long engine) {
        Peer peer = peers.get(engine);
        if (peer != null) {
            takeBack(peer);
        }
    }

    /**
     * The channel ends with its engine, and so do its calls: a machine cut off would never end
     * them.
     */
    public void gone(long engine) {
        Peer peer = peers.remove(engine);
        if (peer != null) {
            takeBack(peer);
            peer.channel.shutdownNow();
        }
    }

    public void close() {
        peers.values().forEach(peer -> peer.channel.shutdownNow());
    }

    private void begin(Peer peer, Attempt attempt, Consumer<ManagedChannel> begin) {
        begin.accept(peer.channel);
        gateway.attemptWritten(
                attempt); // gRPC tells no more than that the call went to a channel which is up.
    }

    private void takeBack(Peer peer) {
        List.copyOf(peer.waiting).forEach(each -> fail(peer, each));
    }

    private void fail(Peer peer, Waiting waiting) {
        if (peer.waiting.remove(waiting)) {
            gateway.attemptEnded(waiting.attempt, AttemptOutcome.CONNECT_FAILED, null, null);
        }
    }

    private void watch(Peer peer) {
        ConnectivityState state = peer.channel.getState(true);
        if (state == ConnectivityState.READY) {
            List<Waiting> ready = List.copyOf(peer.waiting);
            peer.waiting.clear();
            ready.forEach(each -> begin(peer, each.attempt, each.begin));
        } else if (state == ConnectivityState.TRANSIENT_FAILURE
                && peer.seen == ConnectivityState.CONNECTING) {
            takeBack(peer);
        }
        peer.seen = state;
        if (!peer.waiting.isEmpty()) {
            peer.channel.notifyWhenStateChanged(state, () -> loop.post(() -> watch(peer)));
        }
    }
}
