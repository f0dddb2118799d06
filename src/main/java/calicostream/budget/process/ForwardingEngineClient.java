// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.core.Attempt;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.routing.LoadReport;
import java.net.InetSocketAddress;

/**
 * An {@link EngineClient} that forwards calls to a delegate; subclasses override the methods that
 * they extend. Must be used on the delegate's thread.
 */
abstract class ForwardingEngineClient implements EngineClient {
    private final EngineClient delegate;

    ForwardingEngineClient(EngineClient delegate) {
        this.delegate = delegate;
    }

    @Override
    public void attach(Gateway gateway) {
        delegate.attach(gateway);
    }

    @Override
    public void engineStarted(long engine, long unixMillis) {
        delegate.engineStarted(engine, unixMillis);
    }

    @Override
    public void loadReported(long engine, LoadReport report) {
        delegate.loadReported(engine, report);
    }

    @Override
    public void setAddress(long engine, InetSocketAddress address) {
        delegate.setAddress(engine, address);
    }

    @Override
    public void send(Attempt attempt) {
        delegate.send(attempt);
    }

    @Override
    public void cancel(Attempt attempt) {
        delegate.cancel(attempt);
    }

    @Override
    public boolean probe(long engine) {
        return delegate.probe(engine);
    }

    @Override
    public void setMaxConnections(int connections) {
        delegate.setMaxConnections(connections);
    }

    @Override
    public void priorityChanged(Attempt attempt) {
        delegate.priorityChanged(attempt);
    }

    @Override
    public void engineDraining(long engine) {
        delegate.engineDraining(engine);
    }

    @Override
    public void engineReinstated(long engine) {
        delegate.engineReinstated(engine);
    }

    @Override
    public void engineRemoved(long engine) {
        delegate.engineRemoved(engine);
    }
}
