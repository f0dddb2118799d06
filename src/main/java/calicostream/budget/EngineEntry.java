// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/** An engine's present incarnation with its session cap. Owned by a {@link GrantLedger}. */
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

    /** Sessions that each named process may always use here. */
    int floor() {
        return pool.floor();
    }

    /** The cap in force: no more sessions than this may be in use. */
    int cap() {
        return cap;
    }

    /** The cap that was set last; lower than {@link #cap} until it is in force. */
    int requestedCap() {
        return requestedCap;
    }

    /** Whether a lowered cap is not in force yet. */
    boolean isCapLowered() {
        return requestedCap < cap;
    }

    /**
     * A raised cap is in force at once, a lowered one once {@link #enforceRequestedCap} is called.
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
