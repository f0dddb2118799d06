// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The replicated state of grants: engines with their caps, and processes with the sessions that
 * they may have in use. It computes how many sessions may be in use at an engine but makes no
 * decisions. Its maps are sorted so that equal states have equal encodings. Owned and changed by
 * one {@link GrantStateMachine}.
 */
final class GrantLedger {
    private final Set<String> processesWithFloor;
    private final SortedMap<String, EngineEntry> engines = new TreeMap<>();
    private final SortedMap<String, ProcessEntry> processes = new TreeMap<>();
    private final SortedMap<String, Long> removedEngines = new TreeMap<>();
    private long fencingToken;
    private long appliedIndex;

    GrantLedger(BudgetSettings settings) {
        processesWithFloor = Set.copyOf(settings.processes());
        processesWithFloor.forEach(this::addProcess);
    }

    /** By name; unmodifiable. */
    SortedMap<String, EngineEntry> engines() {
        return Collections.unmodifiableSortedMap(engines);
    }

    /** By name; unmodifiable. */
    SortedMap<String, ProcessEntry> processes() {
        return Collections.unmodifiableSortedMap(processes);
    }

    /** Last incarnation of each removed engine; only a later one may be added. Unmodifiable. */
    SortedMap<String, Long> removedEngines() {
        return Collections.unmodifiableSortedMap(removedEngines);
    }

    /** The largest fencing token of any coordinator so far. */
    long fencingToken() {
        return fencingToken;
    }

    void setFencingToken(long token) {
        fencingToken = token;
    }

    /** Index of the last command, whether accepted or rejected. */
    long appliedIndex() {
        return appliedIndex;
    }

    void setAppliedIndex(long index) {
        appliedIndex = index;
    }

    void putEngine(String name, EngineEntry engine) {
        engines.put(name, engine);
        removedEngines.remove(name);
    }

    /** Removes an engine; its sessions have ended with it. */
    void removeEngine(String name) {
        removeAllocations(name);
        putRemovedEngine(name, engines.remove(name).incarnation());
    }

    void putRemovedEngine(String name, long incarnation) {
        removedEngines.put(name, incarnation);
    }

    /** Removes all processes' allocations at an engine whose incarnation has ended. */
    void removeAllocations(String engine) {
        processes.values().forEach(process -> process.removeAllocation(engine));
    }

    /** Adds an empty entry for the process, replacing an existing one. */
    ProcessEntry addProcess(String name) {
        ProcessEntry process = new ProcessEntry(name);
        processes.put(name, process);
        return process;
    }

    /** The process that joined under the cluster session; null if there is none. */
    ProcessEntry processBySession(long session) {
        if (session == 0) {
            return null;
        }
        for (ProcessEntry process : processes.values()) {
            if (process.session() == session) {
                return process;
            }
        }
        return null;
    }

    /**
     * The process that joined under the cluster session.
     *
     * @throws BudgetException.GrantExpired if there is none
     */
    ProcessEntry requireProcess(long session) {
        ProcessEntry process = processBySession(session);
        if (process == null) {
            throw new BudgetException.GrantExpired("a process", session);
        }
        return process;
    }

    boolean isPresent(String engine, long incarnation) {
        EngineEntry entry = engines.get(engine);
        return entry != null && entry.incarnation() == incarnation;
    }

    /**
     * Checks that this is the current incarnation of the engine.
     *
     * @throws BudgetException.OtherIncarnation if it is not
     */
    void requirePresent(String engine, long incarnation) {
        if (!isPresent(engine, incarnation)) {
            EngineEntry entry = engines.get(engine);
            throw new BudgetException.OtherIncarnation(
                    engine, incarnation, entry == null ? 0 : entry.incarnation());
        }
    }

    /** Sessions that the process may always use at the engine. */
    int floor(String process, String engine) {
        return processesWithFloor.contains(process) ? engines.get(engine).floor() : 0;
    }

    /** Upper bound on the sessions in use at the engine, now and later, unless more are granted. */
    int committed(String engine) {
        return committed(engine, Map.of());
    }

    /** Upper bound on the sessions in use at the engine if these sums, by process, were granted. */
    int committed(String engine, Map<String, Integer> proposedSums) {
        long total = 0;
        for (ProcessEntry process : processes.values()) {
            int floor = floor(process.name(), engine);
            EngineAllocation allocation = process.allocations().get(engine);
            int sum = proposedSums.getOrDefault(process.name(), 0);
            if (allocation == null) {
                total += Math.max(floor, sum);
            } else {
                total +=
                        Math.max(
                                allocation.committed(floor),
                                allocation.orphaned() + Math.max(sum, allocation.inUse()));
            }
        }
        return (int) Math.min(total, Integer.MAX_VALUE);
    }

    /**
     * Puts each lowered cap in force if no more sessions than the new cap may be in use.
     *
     * @return the names of the engines whose lowered cap came into force
     */
    List<String> enforceLoweredCaps() {
        List<String> lowered = new ArrayList<>();
        engines.forEach(
                (name, engine) -> {
                    if (engine.isCapLowered() && committed(name) <= engine.requestedCap()) {
                        engine.enforceRequestedCap();
                        lowered.add(name);
                    }
                });
        return lowered;
    }
}
