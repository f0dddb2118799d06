// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Set;

/**
 * Applies the commands about engines to a {@link GrantLedger}: additions, replacements, changes of
 * a cap, removals, and the engines' session counts. Each method makes all checks before its first
 * change.
 */
final class EngineCommandHandler {
    private final BudgetSettings settings;
    private final Set<Safeguard> disabledSafeguards;
    private final GrantLedger ledger;

    EngineCommandHandler(
            BudgetSettings settings, Set<Safeguard> disabledSafeguards, GrantLedger ledger) {
        this.settings = settings;
        this.disabledSafeguards = disabledSafeguards;
        this.ledger = ledger;
    }

    void update(BudgetCommand.UpdateEngine update) {
        String name = update.engine();
        BudgetSettings.Pool pool = settings.pool(update.pool());
        EngineEntry engine = ledger.engines().get(name);
        long minIncarnation =
                engine != null
                        ? engine.incarnation()
                        : ledger.removedEngines().getOrDefault(name, 0L) + 1;
        if (update.incarnation() < minIncarnation) {
            throw new BudgetException.OtherIncarnation(name, update.incarnation(), minIncarnation);
        }
        long floors = (long) pool.floor() * settings.processes().size();
        if (floors > update.cap()) {
            throw new BudgetException.FloorsOverCap(name, update.cap(), floors);
        }
        if (engine == null || update.incarnation() > engine.incarnation()) {
            ledger.removeAllocations(name);
            engine = new EngineEntry(update.incarnation(), pool, update.cap(), update.cap());
            ledger.putEngine(name, engine);
        }
        engine.configure(pool, update.cap());
        if (disabledSafeguards.contains(Safeguard.LOWERED_CAP_IS_DEFERRED)) {
            engine.enforceRequestedCap();
        }
    }

    void remove(BudgetCommand.RemoveEngine remove) {
        ledger.requirePresent(remove.engine(), remove.incarnation());
        ledger.removeEngine(remove.engine());
    }

    void count(BudgetCommand.EngineCount count) {
        ledger.requirePresent(count.engine(), count.incarnation());
        ProcessEntry process = ledger.processes().get(count.process());
        if (process == null || process.session() != count.session()) {
            throw new BudgetException.GrantExpired(count.process(), count.session());
        }
        checkCountIsUsable(process, count);
        int bound = count.running() + maxInTransit(count);
        if (count.forPredecessors()) {
            process.boundOrphaned(count.engine(), bound);
        } else {
            process.allocation(count.engine()).revokeWithUsageAtMost(bound);
        }
    }

    /** A count bounds the sessions in use only if it was requested after the grants had expired. */
    private void checkCountIsUsable(ProcessEntry process, BudgetCommand.EngineCount count) {
        long expiredAtIndex =
                count.forPredecessors()
                        ? process.predecessorsExpiredAtIndex()
                        : process.expiredAtIndex();
        if (expiredAtIndex == 0 && !disabledSafeguards.contains(Safeguard.GRANT_HELD_TO_EXPIRY)) {
            throw new BudgetException.StaleEngineCount(
                    count.engine(), count.session(), "its grants are not counted out");
        }
        if (count.appliedIndex() < expiredAtIndex
                && !disabledSafeguards.contains(Safeguard.PROOF_AFTER_EXPIRY)) {
            throw new BudgetException.StaleEngineCount(
                    count.engine(),
                    count.session(),
                    "asked at index " + count.appliedIndex() + ", over since " + expiredAtIndex);
        }
    }

    /** Upper bound on the sessions that were sent to the engine but are not in its count yet. */
    private int maxInTransit(BudgetCommand.EngineCount count) {
        boolean isNoneInTransit = count.forPredecessors() && count.allConnectionsClosed();
        if (isNoneInTransit || disabledSafeguards.contains(Safeguard.UNACKNOWLEDGED_COUNTS)) {
            return 0;
        }
        return settings.maxUnacknowledged();
    }
}
