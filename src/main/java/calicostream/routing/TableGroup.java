// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Holds a group of tables: its affinity set, its engine ranking and its running loads. */
final class TableGroup {
    private final int number;
    private final TreeMap<Long, Long> lastUseByEngine = new TreeMap<>();
    private final Map<Long, Integer> loadsByEngine = new HashMap<>();
    private final DecayingSum requestedWork = new DecayingSum();
    private List<EngineState> ranking = List.of();
    private int rankingVersion = -1;
    private long usedAt;

    TableGroup(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    void use(long now) {
        usedAt = now;
    }

    boolean isIdle(long now, long idleMicros) {
        return loadsByEngine.isEmpty() && now - usedAt > idleMicros;
    }

    /** Returns the ids of the engines that hold the group's tables in memory, in their order. */
    Set<Long> affinitySet() {
        return lastUseByEngine.keySet();
    }

    boolean hasAffinity(long engine) {
        return lastUseByEngine.containsKey(engine);
    }

    void addToAffinitySet(long now, long engine) {
        lastUseByEngine.put(engine, now);
    }

    /** Keeps an engine in the affinity set if it is there. */
    void refreshAffinity(long now, long engine) {
        if (lastUseByEngine.containsKey(engine)) {
            lastUseByEngine.put(engine, now);
        }
    }

    void removeUnusedAffinity(long now, long idleMicros) {
        lastUseByEngine.values().removeIf(used -> now - used > idleMicros);
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

    /** Keeps a ranking of all engines for as long as the endpoint list has that version. */
    void setRanking(int version, List<EngineState> newRanking) {
        rankingVersion = version;
        ranking = newRanking;
    }

    List<EngineState> ranking() {
        return ranking;
    }
}
