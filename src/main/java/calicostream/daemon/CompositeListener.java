// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.core.RequestListener;
import calicostream.core.RequestOutcome;
import calicostream.routing.EngineEndpoint;
import java.util.List;

/** Several watchers, told one after the other. */
final class CompositeListener implements RequestListener {
    private final List<RequestListener> all;

    private CompositeListener(List<RequestListener> all) {
        this.all = List.copyOf(all);
    }

    /** The one that stands for all of them, which are told in this order. */
    static RequestListener of(List<RequestListener> all) {
        return all.isEmpty()
                ? RequestListener.NONE
                : all.size() == 1 ? all.get(0) : new CompositeListener(all);
    }

    @Override
    public void requestEnded(
            String id, int queryClass, RequestOutcome ending, int attempts, long elapsedUs) {
        all.forEach(w -> w.requestEnded(id, queryClass, ending, attempts, elapsedUs));
    }

    @Override
    public void engineChanged(EngineEndpoint engine) {
        all.forEach(w -> w.engineChanged(engine));
    }
}
