// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Engines;
import calicostream.core.Gateway;
import java.net.InetSocketAddress;

/** An engine side over gRPC; a kind of call adds how an attempt begins and how it is called off. */
public abstract class ChannelEngines implements Engines {
    protected final Channels channels;
    protected Gateway gateway;

    protected ChannelEngines(Channels channels) {
        this.channels = channels;
    }

    /** Calls an attempt off that has gone out. */
    protected abstract void cancel(Gateway.Attempt attempt);

    @Override
    public void attach(Gateway to) {
        gateway = to;
        channels.attach(to);
    }

    @Override
    public void locate(long engine, InetSocketAddress address) {
        channels.locate(engine, address);
    }

    @Override
    public void stop(Gateway.Attempt attempt) {
        if (!channels.takeBack(attempt)) {
            cancel(attempt);
        }
    }

    @Override
    public void priority(Gateway.Attempt attempt) {
        // gRPC has no word for the priority of a call that runs; the next attempt carries it.
    }

    @Override
    public void withdrawn(long engine) {
        channels.withdrawn(engine);
    }

    @Override
    public void renewed(long engine) {
        channels.renewed(engine);
    }

    @Override
    public void gone(long engine) {
        channels.gone(engine);
    }
}
