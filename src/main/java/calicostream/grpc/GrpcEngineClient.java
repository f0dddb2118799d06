// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Attempt;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import java.net.InetSocketAddress;

/**
 * An engine client over gRPC; a subclass adds how an attempt starts and how it is cancelled. The
 * gateway's thread makes all calls.
 */
public abstract class GrpcEngineClient implements EngineClient {
    private final EngineChannels channels;
    private Gateway gateway;

    /** Uses these channels and attaches them to the gateway that it is attached to itself. */
    protected GrpcEngineClient(EngineChannels channels) {
        this.channels = channels;
    }

    /** Cancels an attempt that has been sent. */
    protected abstract void cancelSent(Attempt attempt);

    /** The channels to the engines. */
    protected final EngineChannels channels() {
        return channels;
    }

    /** The gateway, or null before {@link #attach}. */
    protected Gateway gateway() {
        return gateway;
    }

    @Override
    public void attach(Gateway newGateway) {
        gateway = newGateway;
        channels.attach(newGateway);
    }

    @Override
    public void setAddress(long engine, InetSocketAddress address) {
        channels.setAddress(engine, address);
    }

    @Override
    public void cancel(Attempt attempt) {
        if (!channels.cancelUnsent(attempt)) {
            cancelSent(attempt);
        }
    }

    @Override
    public void priorityChanged(Attempt attempt) {
        // gRPC cannot change the priority of a call in flight; the next attempt carries it.
    }

    @Override
    public void engineDraining(long engine) {
        channels.engineDraining(engine);
    }

    @Override
    public void engineReinstated(long engine) {
        channels.engineReinstated(engine);
    }

    @Override
    public void engineRemoved(long engine) {
        channels.engineRemoved(engine);
    }
}
