// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Holds the affinity set, the engine ranking and the running loads of a table group. */
final class TableGroup {
    private final int number;
    private final TreeMap<Long, Long> lastUseByEngine = new TreeMap<>();
    private final Map<Long, Integer> loadsByEngine = new HashMap<>();
    private final DecayingSum requestedWork = new DecayingSum();
    private List<EngineState> ranking = List.of();
    private int rankingVersion = -1;
    private long lastUsedAt;

    TableGroup(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    void recordUse(long now) {
        lastUsedAt = now;
    }

    boolean isIdle(long now, long idleMicros) {
        return loadsByEngine.isEmpty() && now - lastUsedAt > idleMicros;
    }

    /**
     * Returns the ids of the engines that hold the group's tables in memory, in ascending order.
     */
    Set<Long> affinitySet() {
        return lastUseByEngine.keySet();
    }

    boolean hasAffinity(long engine) {
        return lastUseByEngine.containsKey(engine);
    }

    void addToAffinitySet(long now, long engine) {
        lastUseByEngine.put(engine, now);
    }

    /** Updates the time of last use of an engine, if it is in the affinity set. */
    void refreshAffinity(long now, long engine) {
        if (lastUseByEngine.containsKey(engine)) {
            lastUseByEngine.put(engine, now);
        }
    }

    void expireAffinity(long now, long idleMicros) {
        lastUseByEngine.values().removeIf(lastUsed -> now - lastUsed > idleMicros);
    }

    void removeAffinityIf(Predicate<Long> isUnavailable) {
        lastUseByEngine.keySet().removeIf(isUnavailable);
    }

    boolean hasRunningLoad(long engine) {
        return loadsByEngine.containsKey(engine);
    }

    void loadStarted(long engine) {
        loadsByEngine.merge(engine, 1, Integer::sum);
    }

    void loadEnded(long engine) {
        loadsByEngine.merge(engine, -1, Integer::sum);
        loadsByEngine.remove(engine, 0);
    }

    DecayingSum requestedWork() {
        return requestedWork;
    }

    boolean isRankedAt(int version) {
        return rankingVersion == version;
    }

    /** Caches a ranking of all engines for a version of the endpoint list. */
    void setRanking(int version, List<EngineState> newRanking) {
        rankingVersion = version;
        ranking = newRanking;
    }

    List<EngineState> ranking() {
        return ranking;
    }
}
