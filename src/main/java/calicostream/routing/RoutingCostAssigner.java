// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.Comparator;
import java.util.List;

/**
 * Assigns each engine its routing cost: another zone costs, and so do engines beyond the few of
 * this gateway's own, whose connections stay open.
 */
final class RoutingCostAssigner {
    /** Engines that a gateway keeps to where connections cost. */
    private static final int HOME_ENGINES = 10;

    private final RouterSettings settings;
    private final EngineTable engines;

    RoutingCostAssigner(RouterSettings settings, EngineTable engines) {
        this.settings = settings;
        this.engines = engines;
    }

    void assign() {
        List<EngineState> homes = homeEngines();
        boolean handshakesAreFree = settings.costs().handshake() <= 0;
        for (EngineState engine : engines.all()) {
            boolean connected = handshakesAreFree || homes.contains(engine);
            double handshake = connected ? 0 : settings.costs().handshake();
            double crossZone = isInOwnZone(engine) ? 0 : settings.costs().crossZone();
            engine.setRoutingCost(handshake + crossZone);
        }
    }

    private List<EngineState> homeEngines() {
        Comparator<EngineState> ownZoneFirst = Comparator.comparing(engine -> !isInOwnZone(engine));
        return engines.all().stream()
                .filter(EngineState::isReady)
                .sorted(
                        ownZoneFirst.thenComparingDouble(
                                engine -> RendezvousRanking.hash(engine, settings.index())))
                .limit(HOME_ENGINES)
                .toList();
    }

    private boolean isInOwnZone(EngineState engine) {
        return engine.endpoint().zone() == settings.zone();
    }
}
