// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Attempt;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import java.net.InetSocketAddress;

/** An engine side over gRPC; a kind of call adds how an attempt begins and how it is called off. */
public abstract class GrpcEngineClient implements EngineClient {
    protected final EngineChannels channels;
    protected Gateway gateway;

    protected GrpcEngineClient(EngineChannels channels) {
        this.channels = channels;
    }

    /** Calls an attempt off that has gone out. */
    protected abstract void cancel(Attempt attempt);

    @Override
    public void attach(Gateway to) {
        gateway = to;
        channels.attach(to);
    }

    @Override
    public void setAddress(long engine, InetSocketAddress address) {
        channels.locate(engine, address);
    }

    @Override
    public void stop(Attempt attempt) {
        if (!channels.takeBack(attempt)) {
            cancel(attempt);
        }
    }

    @Override
    public void priorityChanged(Attempt attempt) {
        // gRPC has no word for the priority of a call that runs; the next attempt carries it.
    }

    @Override
    public void engineDraining(long engine) {
        channels.withdrawn(engine);
    }

    @Override
    public void engineReinstated(long engine) {
        channels.renewed(engine);
    }

    @Override
    public void engineRemoved(long engine) {
        channels.gone(engine);
    }
}
