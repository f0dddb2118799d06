// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.Comparator;
import java.util.List;

/**
 * Assigns a routing cost to each engine: the cost of another zone, and the cost of a connection for
 * engines outside the small set to which this gateway keeps connections open.
 */
final class RoutingCostAssigner {
    /** Number of engines to which a gateway keeps connections if connections have a cost. */
    private static final int CONNECTED_ENGINES = 10;

    private final RouterSettings settings;
    private final EngineTable engines;

    RoutingCostAssigner(RouterSettings settings, EngineTable engines) {
        this.settings = settings;
        this.engines = engines;
    }

    void assign() {
        List<EngineState> connectedEngines = connectedEngines();
        boolean handshakesAreFree = settings.costs().handshake() <= 0;
        for (EngineState engine : engines.all()) {
            boolean connected = handshakesAreFree || connectedEngines.contains(engine);
            double handshake = connected ? 0 : settings.costs().handshake();
            double crossZone = isInOwnZone(engine) ? 0 : settings.costs().crossZone();
            engine.setRoutingCost(handshake + crossZone);
        }
    }

    private List<EngineState> connectedEngines() {
        Comparator<EngineState> ownZoneFirst = Comparator.comparing(engine -> !isInOwnZone(engine));
        return engines.all().stream()
                .filter(EngineState::isReady)
                .sorted(
                        ownZoneFirst.thenComparingDouble(
                                engine -> RendezvousRanking.hash(engine, settings.index())))
                .limit(CONNECTED_ENGINES)
                .toList();
    }

    private boolean isInOwnZone(EngineState engine) {
        return engine.endpoint().zone() == settings.zone();
    }
}
