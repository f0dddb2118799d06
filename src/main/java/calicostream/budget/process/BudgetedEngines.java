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
 * The engines of the endpoint list, as budgets see them: names, incarnations, and the slots of
 * those that belong to a pool. Registers them with the {@link SessionLedger} and publishes them to
 * the coordinator's task. Front end's loop only.
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

    /** The last incarnations of engines that were removed from the list, by name. */
    private final Map<String, Long> removed = new HashMap<>();

    private boolean hasUnbudgeted;

    BudgetedEngines(BudgetConfig config, SessionLedger ledger, BudgetMailbox mailbox) {
        this.config = config;
        this.ledger = ledger;
        this.mailbox = mailbox;
    }

    /** The name by which commands mean the engine. */
    static String name(long engine) {
        return Long.toHexString(engine);
    }

    /** When the engine's process started by the endpoint list, which is the same at all members. */
    void engineStarted(long engine, long unixMillis) {
        startedAtMillis.put(engine, unixMillis);
    }

    void engineChanged(EngineEndpoint engine, long nowNanos) {
        if (engine.lifecycle() == EngineLifecycle.REMOVED) {
            listed.remove(engine.id());
            removed.put(name(engine.id()), incarnation(engine.id()));
        } else {
            removed.remove(name(engine.id()));
            listed.put(engine.id(), engine);
            Optional<String> pool = config.poolOfEngineKind(engine.kind());
            if (pool.isPresent()) {
                int slot = registerSlot(engine.id(), pool.get());
                ledger.engineConnected(slot, incarnation(engine.id()), nowNanos);
            }
        }
        hasUnbudgeted =
                listed.values().stream()
                        .anyMatch(each -> config.poolOfEngineKind(each.kind()).isEmpty());
        mailbox.publishEngines(listedEngines(), removed);
    }

    private int registerSlot(long engine, String pool) {
        Integer known = slotById.get(engine);
        if (known != null) {
            return known;
        }
        int slot = ledger.grantedSessions().registerEngine(name(engine), pool);
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
                                                    name(engine.id()),
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

    int slots() {
        return idBySlot.size();
    }

    long id(int slot) {
        return idBySlot.get(slot);
    }

    boolean isListed(int slot) {
        return listed.containsKey(id(slot));
    }

    /** Whether an engine is listed that belongs to no pool. */
    boolean hasUnbudgeted() {
        return hasUnbudgeted;
    }

    /** The engines' caps by slot; 0 for one that is not listed. */
    int[] caps() {
        int[] caps = new int[slots()];
        for (int slot = 0; slot < caps.length; slot++) {
            EngineEndpoint engine = listed.get(id(slot));
            if (engine != null) {
                caps[slot] = engineCap(config.poolOfEngineKind(engine.kind()).orElseThrow());
            }
        }
        return caps;
    }

    /** The engines' names by slot. */
    List<String> names() {
        return idBySlot.stream().map(BudgetedEngines::name).toList();
    }

    /** The ids of those engines with a slot that have one of the names. */
    List<Long> idsOf(List<String> names) {
        return slotById.keySet().stream().filter(id -> names.contains(name(id))).toList();
    }
}
