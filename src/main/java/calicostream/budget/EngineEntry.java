// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/** An engine's current incarnation and its session cap. Owned by a {@link GrantLedger}. */
final class EngineEntry {
    private final long incarnation;
    private BudgetSettings.Pool pool;
    private int cap;
    private int requestedCap;

    EngineEntry(long incarnation, BudgetSettings.Pool pool, int cap, int requestedCap) {
        this.incarnation = incarnation;
        this.pool = pool;
        this.cap = cap;
        this.requestedCap = requestedCap;
    }

    long incarnation() {
        return incarnation;
    }

    String pool() {
        return pool.name();
    }

    /** Sessions that each configured process may always use at this engine. */
    int floor() {
        return pool.floor();
    }

    /** The cap in force: the most sessions that may be in use. */
    int cap() {
        return cap;
    }

    /** The cap that was configured last; lower than {@link #cap} while it is not in force yet. */
    int requestedCap() {
        return requestedCap;
    }

    /** Whether a lowered cap is not in force yet. */
    boolean isCapLowered() {
        return requestedCap < cap;
    }

    /**
     * Sets pool and cap. A raised cap is in force at once, a lowered one only after {@link
     * #enforceRequestedCap}.
     */
    void configure(BudgetSettings.Pool newPool, int newCap) {
        pool = newPool;
        requestedCap = newCap;
        cap = Math.max(cap, newCap);
    }

    void enforceRequestedCap() {
        cap = requestedCap;
    }
}
