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
    /** Odd and irregular, so that neighbouring ids give unrelated hashes. */
    static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** Effect of the routing cost: at 1% of a query's worth an engine leads half as often. */
    private static final double COST_EFFECT = 100;

    private static final double MIN_HASH = 1e-12;

    private final EngineTable engines;

    RendezvousRanking(EngineTable engines) {
        this.engines = engines;
    }

    /** Returns a hash of an engine and a number, from 0 to 1. */
    static double hash(EngineState engine, long number) {
        return new SplittableRandom(engine.id() * HASH_MULTIPLIER + number).nextDouble();
    }

    /** Returns all engines, the most preferred first. */
    List<EngineState> rank(TableGroup group) {
        if (!group.isRankedAt(engines.version())) {
            List<EngineState> ranking = new ArrayList<>(engines.all());
            ranking.sort(Comparator.comparingDouble(engine -> position(group, engine)));
            group.setRanking(engines.version(), ranking);
        }
        return group.ranking();
    }

    private static double position(TableGroup group, EngineState engine) {
        double hash = Math.max(MIN_HASH, hash(engine, group.number()));
        return (1 + COST_EFFECT * engine.routingCost()) * -Math.log(hash);
    }
}
