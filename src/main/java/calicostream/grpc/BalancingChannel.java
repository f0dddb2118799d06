// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.core.Gateway;
import calicostream.core.RequestListener;
import calicostream.net.SelectorLoop;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.SettingsParser;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gRPC channel that balances its calls over several engines, by a {@link Gateway} in this
 * process. A call's messages are buffered until its client has half-closed, so that a retry can
 * send them again, and a response is passed on once it is complete. Calls name their class and
 * table group by {@link #QUERY_CLASS} and {@link #TABLE_GROUP}; bidirectional streams end as
 * UNIMPLEMENTED. All methods may be called by any thread; the work is done on an event loop that
 * the channel owns until {@link #close}.
 */
public final class BalancingChannel extends Channel implements AutoCloseable {
    /** The call option that names the query class; a call without it is an INVALID_ARGUMENT. */
    public static final CallOptions.Key<String> QUERY_CLASS =
            CallOptions.Key.create("calicostream-class");

    /** The call option that names the table group; 0 by default. */
    public static final CallOptions.Key<Integer> TABLE_GROUP =
            CallOptions.Key.createWithDefault("table-group", 0);

    private static final Logger LOG = LoggerFactory.getLogger(BalancingChannel.class);

    private final SelectorLoop loop;
    private final Gateway gateway;
    private final EngineChannels channels;
    private final ChannelContext context;

    /**
     * Starts without engines.
     *
     * @param dial makes the channel to an engine, with gRPC's own retries disabled
     * @param listener notified of requests on the event loop
     * @throws IOException if the event loop cannot be opened
     */
    public BalancingChannel(
            SettingsParser settings,
            Function<InetSocketAddress, ManagedChannel> dial,
            RequestListener listener)
            throws IOException {
        Clock clock = new Clock();
        loop = new SelectorLoop(clock, new Deadlines());
        channels = new EngineChannels(loop, settings.connectionSettings(), dial);
        // A plain gRPC service sends no progress reports: their absence means nothing.
        gateway =
                new Gateway(
                        clock,
                        loop.deadlines(),
                        settings.settings().withoutProgressReports(),
                        listener);
        context =
                new ChannelContext(
                        loop,
                        gateway,
                        settings.classNames(),
                        settings.settings().classes(),
                        new HashMap<>());
        gateway.start(new BalancingEngineClient(channels, context.openCalls()), List.of());
        Thread thread = new Thread(this::runLoop, "calicostream");
        thread.setDaemon(true);
        thread.start();
    }

    private void runLoop() {
        try {
            loop.run();
        } catch (IOException e) {
            LOG.error("event loop of the channel ended", e);
        }
    }

    /**
     * Applies an update of the endpoint list.
     *
     * @param kind what the update covers
     * @param addresses addresses by engine, at least of those that are new or have moved
     */
    public void endpointsChanged(
            EndpointUpdate kind,
            List<EngineEndpoint> engines,
            Map<Long, InetSocketAddress> addresses) {
        loop.post(
                () -> {
                    addresses.forEach(channels::setAddress);
                    gateway.endpointsChanged(kind, engines);
                });
    }

    /** Ends open calls as UNAVAILABLE, closes the channels to engines and stops the event loop. */
    @Override
    public void close() {
        loop.post(
                () -> {
                    Status status = Status.UNAVAILABLE.withDescription("closed");
                    List.copyOf(context.openCalls().values()).forEach(call -> call.close(status));
                    channels.close();
                    loop.stop();
                });
    }

    @Override
    public String authority() {
        return "calicostream";
    }

    @Override
    public <Q, R> ClientCall<Q, R> newCall(MethodDescriptor<Q, R> method, CallOptions options) {
        return new BalancedCall<>(context, method, options);
    }
}
