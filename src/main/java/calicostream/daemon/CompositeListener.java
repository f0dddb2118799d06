// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.core.RequestListener;
import calicostream.core.RequestOutcome;
import calicostream.routing.EngineEndpoint;
import java.util.List;

/** Notifies several listeners, one after the other. */
final class CompositeListener implements RequestListener {
    private final List<RequestListener> listeners;

    private CompositeListener(List<RequestListener> listeners) {
        this.listeners = List.copyOf(listeners);
    }

    /** One listener that stands for all of them; they are notified in this order. */
    static RequestListener of(List<RequestListener> listeners) {
        if (listeners.isEmpty()) {
            return RequestListener.NONE;
        }
        return listeners.size() == 1 ? listeners.get(0) : new CompositeListener(listeners);
    }

    @Override
    public void requestEnded(
            String id, int queryClass, RequestOutcome outcome, int attempts, long elapsedMicros) {
        for (RequestListener each : listeners) {
            each.requestEnded(id, queryClass, outcome, attempts, elapsedMicros);
        }
    }

    @Override
    public void engineChanged(EngineEndpoint engine) {
        for (RequestListener each : listeners) {
            each.engineChanged(engine);
        }
    }
}
