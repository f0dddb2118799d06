// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Ranks engines for a table group by rendezvous hashing, so that all gateways prefer the same
 * engines and tables stay in memory there.
 */
final class RendezvousRanking {
    /**
     * Odd multiplier with an irregular bit pattern, so that consecutive ids give independent
     * hashes.
     */
    static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /**
     * Weight of the routing cost: a cost of 1% of a query's value halves how often an engine ranks
     * first.
     */
    private static final double COST_WEIGHT = 100;

    private static final double MIN_HASH = 1e-12;

    private final EngineTable engines;

    RendezvousRanking(EngineTable engines) {
        this.engines = engines;
    }

    /** Returns a hash of an engine and a number, scaled to the range from 0 to 1. */
    static double hash(EngineState engine, long number) {
        return new SplittableRandom(engine.id() * HASH_MULTIPLIER + number).nextDouble();
    }

    /** Returns all engines, most preferred first. */
    List<EngineState> rank(TableGroup group) {
        if (!group.isRankedAt(engines.version())) {
            List<EngineState> ranking = new ArrayList<>(engines.all());
            ranking.sort(Comparator.comparingDouble(engine -> weightedHash(group, engine)));
            group.setRanking(engines.version(), ranking);
        }
        return group.ranking();
    }

    private static double weightedHash(TableGroup group, EngineState engine) {
        double hash = Math.max(MIN_HASH, hash(engine, group.number()));
        return (1 + COST_WEIGHT * engine.routingCost()) * -Math.log(hash);
    }
}
