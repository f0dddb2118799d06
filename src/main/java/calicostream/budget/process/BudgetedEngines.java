// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.SessionLedger;
import calicostream.cluster.config.BudgetConfig;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The engines of the endpoint list with their names, their incarnations, and the slots of those
 * that belong to a pool. Registers them with the {@link SessionLedger} and publishes them to the
 * coordinator task. Must be used on the front end's loop.
 */
final class BudgetedEngines {
    private final BudgetConfig config;
    private final SessionLedger ledger;
    private final BudgetMailbox mailbox;

    /** Engine id by slot. */
    private final List<Long> idBySlot = new ArrayList<>();

    private final Map<Long, Integer> slotById = new HashMap<>();
    private final Map<Long, Long> startedAtMillis = new HashMap<>();
    private final Map<Long, EngineEndpoint> listed = new HashMap<>();

    /** Last incarnation of each engine that was removed from the list, by name. */
    private final Map<String, Long> removed = new HashMap<>();

    private boolean hasUnbudgetedEngines;

    BudgetedEngines(BudgetConfig config, SessionLedger ledger, BudgetMailbox mailbox) {
        this.config = config;
        this.ledger = ledger;
        this.mailbox = mailbox;
    }

    /** The engine's name in commands. */
    static String engineName(long engine) {
        return Long.toHexString(engine);
    }

    /** Records the start of the engine's process from the endpoint list, equal at all members. */
    void engineStarted(long engine, long unixMillis) {
        startedAtMillis.put(engine, unixMillis);
    }

    void engineChanged(EngineEndpoint engine, long nowNanos) {
        if (engine.lifecycle() == EngineLifecycle.REMOVED) {
            listed.remove(engine.id());
            removed.put(engineName(engine.id()), incarnation(engine.id()));
        } else {
            removed.remove(engineName(engine.id()));
            listed.put(engine.id(), engine);
            Optional<String> pool = config.poolOfEngineKind(engine.kind());
            if (pool.isPresent()) {
                int slot = registerSlot(engine.id(), pool.get());
                ledger.engineConnected(slot, incarnation(engine.id()), nowNanos);
            }
        }
        hasUnbudgetedEngines =
                listed.values().stream()
                        .anyMatch(
                                listedEngine ->
                                        config.poolOfEngineKind(listedEngine.kind()).isEmpty());
        mailbox.publishEngines(listedEngines(), removed);
    }

    private int registerSlot(long engine, String pool) {
        Integer registeredSlot = slotById.get(engine);
        if (registeredSlot != null) {
            return registeredSlot;
        }
        int slot = ledger.grantedSessions().registerEngine(engineName(engine), pool);
        slotById.put(engine, slot);
        idBySlot.add(engine);
        return slot;
    }

    private long incarnation(long engine) {
        return startedAtMillis.getOrDefault(engine, 0L) + 1;
    }

    private List<BudgetMailbox.ListedEngine> listedEngines() {
        List<BudgetMailbox.ListedEngine> engines = new ArrayList<>();
        for (EngineEndpoint engine : listed.values()) {
            config.poolOfEngineKind(engine.kind())
                    .ifPresent(
                            pool ->
                                    engines.add(
                                            new BudgetMailbox.ListedEngine(
                                                    engineName(engine.id()),
                                                    incarnation(engine.id()),
                                                    pool,
                                                    engineCap(pool))));
        }
        return engines;
    }

    private int engineCap(String pool) {
        return config.enginePools().get(pool).engineCap();
    }

    /** The engine's slot; null if it belongs to no pool, so that its sessions are not counted. */
    Integer slot(long engine) {
        return slotById.get(engine);
    }

    int slotCount() {
        return idBySlot.size();
    }

    long engineId(int slot) {
        return idBySlot.get(slot);
    }

    boolean isListed(int slot) {
        return listed.containsKey(engineId(slot));
    }

    /** Whether the list has an engine that belongs to no pool. */
    boolean hasUnbudgetedEngines() {
        return hasUnbudgetedEngines;
    }

    /** The engines' caps by slot; 0 for one that is not listed. */
    int[] capsBySlot() {
        int[] caps = new int[slotCount()];
        for (int slot = 0; slot < caps.length; slot++) {
            EngineEndpoint engine = listed.get(engineId(slot));
            if (engine != null) {
                caps[slot] = engineCap(config.poolOfEngineKind(engine.kind()).orElseThrow());
            }
        }
        return caps;
    }

    /** The engines' names by slot. */
    List<String> engineNames() {
        return idBySlot.stream().map(BudgetedEngines::engineName).toList();
    }

    /** The ids of the engines with a slot and one of the names. */
    List<Long> engineIds(List<String> names) {
        return slotById.keySet().stream().filter(id -> names.contains(engineName(id))).toList();
    }
}
