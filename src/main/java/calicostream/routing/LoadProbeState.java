// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.List;

/** Holds the load probe of one engine and the queries that wait for it; see {@link LoadProber}. */
final class LoadProbeState {
    private final List<QueryState> waitingQueries = new ArrayList<>();
    private boolean active;
    private long nextProbeAt;

    boolean isActive() {
        return active;
    }

    boolean mayStart(long now) {
        return !active && now >= nextProbeAt;
    }

    void start(long nextAt) {
        active = true;
        nextProbeAt = nextAt;
    }

    void end() {
        active = false;
    }

    void postpone(long nextAt) {
        nextProbeAt = nextAt;
    }

    void addWaiting(QueryState query) {
        waitingQueries.add(query);
    }

    /** Releases the queries that wait for the probe. */
    void releaseWaiting() {
        waitingQueries.forEach(QueryState::loadProbeEnded);
        waitingQueries.clear();
    }
}
