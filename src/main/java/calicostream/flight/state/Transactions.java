// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Transactions of clients, each pinned to the engine that holds it. One thing happens in a
 * transaction at a time, and nothing of it is ever tried elsewhere. It ends by its client's word,
 * by idling past its lease, or with its engine; for a while after that each further use is told how
 * it ended. {@code H} is an engine's handle.
 *
 * <p>States: OPEN, BUSY (a statement runs), ENDING (commit or rollback is out), DEAD and ENDED
 * (remembered).
 */
public final class Transactions<H> {
    /** What a client wants to do in a transaction. */
    public enum Purpose {
        STATEMENT,
        COMMIT,
        ROLLBACK
    }

    /** Whether it may, or why not. */
    public enum UseDecision {
        GRANTED,
        UNKNOWN,
        IN_USE,
        DRAINING,
        DEAD,
        OUTCOME_UNKNOWN
    }

    /**
     * How a statement or an end in a transaction went; {@code LOST}: it may have run, nobody knows.
     */
    public enum UseResult {
        DONE,
        NEVER_SENT,
        LOST
    }

    private enum State {
        OPEN,
        BUSY,
        ENDING,
        DEAD,
        ENDED
    }

    /**
     * Bounds: transactions of a client and on an engine, idle time, time to end on a drain, memory
     * of ended ones.
     */
    public record Limits(
            int perClient,
            int perEngine,
            long idleTimeoutUs,
            long drainTimeoutUs,
            long tombstoneUs) {}

    /** One transaction. */
    public static final class Transaction<H> {
        public final String name;
        public final String owner;
        public final long engine;
        public final H handle;
        private final LinkedHashMap<String, H> savepoints = new LinkedHashMap<>();
        private State state = State.OPEN;
        private Purpose endingBy;
        private long lastUsedAt, drainDeadline, forgetAt;
        private boolean outcomeUnknown, abandoned;
        private String endReason = "";

        private Transaction(String name, String owner, long engine, H handle, long now) {
            this.name = name;
            this.owner = owner;
            this.engine = engine;
            this.handle = handle;
            lastUsedAt = now;
        }

        /** Why it is dead, in words for its client. */
        public String endReason() {
            return endReason;
        }

        private boolean isLive() {
            return state == State.OPEN || state == State.BUSY || state == State.ENDING;
        }
    }

    private final Supplier<String> names;
    private final Limits limits;
    private final Map<String, Transaction<H>> transactions = new LinkedHashMap<>();
    private final Map<String, Integer> countPerClient = new HashMap<>();
    private final Map<Long, Integer> countPerEngine = new HashMap<>();

    public Transactions(Supplier<String> names, Limits bounds) {
        this.names = names;
        this.limits = bounds;
    }

    // ---- Beginning
    // ------------------------------------------------------------------------------------
    /**
     * Counts a transaction that is being begun; false: the client has its share. Ends with begun or
     * notBegun.
     */
    public boolean reserve(String owner) {
        if (countPerClient.getOrDefault(owner, 0) >= limits.perClient) {
            return false;
        }
        countPerClient.merge(owner, 1, Integer::sum);
        return true;
    }

    /** The engine did not begin it, or its client does not want it any more. */
    public void releaseReservation(String owner) {
        countPerClient.compute(owner, (name, n) -> n == 1 ? null : n - 1);
    }

    /**
     * The engine began it. Null: the engine has its share, and the engine's transaction is to be
     * rolled back.
     */
    public Transaction<H> begin(long now, String owner, long engine, H handle) {
        if (countPerEngine.getOrDefault(engine, 0) >= limits.perEngine) {
            releaseReservation(owner);
            return null;
        }
        countPerEngine.merge(engine, 1, Integer::sum);
        Transaction<H> made = new Transaction<>(names.get(), owner, engine, handle, now);
        transactions.put(made.name, made);
        return made;
    }

    // ---- Use
    // ------------------------------------------------------------------------------------------
    /** The transaction under this name, if it is this owner's. */
    public Transaction<H> find(String owner, String name) {
        Transaction<H> found = transactions.get(name);
        return found == null || !found.owner.equals(owner) ? null : found;
    }

    /** Asks to do something in it; if granted, {@link #done} must follow once. */
    public UseDecision tryUse(long now, Transaction<H> txn, Purpose purpose) {
        if (txn == null || txn.state == State.ENDED && !txn.outcomeUnknown) {
            return UseDecision.UNKNOWN;
        }
        if (txn.state == State.ENDED) {
            return UseDecision.OUTCOME_UNKNOWN;
        }
        if (txn.state == State.DEAD || txn.drainDeadline > 0 && now >= txn.drainDeadline) {
            return UseDecision.DEAD;
        }
        if (txn.state != State.OPEN) {
            return UseDecision.IN_USE;
        }
        if (txn.drainDeadline > 0 && purpose == Purpose.STATEMENT) {
            return UseDecision.DRAINING;
        }
        txn.state = purpose == Purpose.STATEMENT ? State.BUSY : State.ENDING;
        txn.endingBy = purpose;
        txn.lastUsedAt = now;
        return UseDecision.GRANTED;
    }

    /**
     * What was granted is over. A commit that was lost leaves its outcome unknown, a lost statement
     * the transaction dead. True: the engine is to be told to roll it back, as nobody else will.
     */
    public boolean useEnded(long now, Transaction<H> txn, UseResult result) {
        if (!txn.isLive()) {
            return false;
        }
        txn.lastUsedAt = now;
        boolean ending = txn.state == State.ENDING;
        if (result == UseResult.NEVER_SENT || !ending && result == UseResult.DONE) {
            txn.state = State.OPEN;
            return false;
        }
        if (!ending) {
            kill(now, txn, "a statement in it was lost");
            return true;
        }
        if (result == UseResult.DONE) {
            end(now, txn, State.ENDED);
            return false;
        }
        txn.outcomeUnknown = txn.endingBy == Purpose.COMMIT;
        txn.endReason = "its end was lost on the way";
        end(now, txn, txn.outcomeUnknown ? State.ENDED : State.DEAD);
        return !txn.outcomeUnknown;
    }

    private void kill(long now, Transaction<H> txn, String why) {
        txn.endReason = why;
        end(now, txn, State.DEAD);
    }

    private void end(long now, Transaction<H> txn, State state) {
        txn.state = state;
        txn.forgetAt = now + limits.tombstoneUs;
        txn.savepoints.clear();
        countPerClient.compute(txn.owner, (name, n) -> n == 1 ? null : n - 1);
        countPerEngine.compute(txn.engine, (engine, n) -> n == 1 ? null : n - 1);
    }

    /** How it stands, with nothing done about it; GRANTED: it lives. */
    public UseDecision status(Transaction<H> txn) {
        return txn.isLive()
                ? UseDecision.GRANTED
                : txn.outcomeUnknown
                        ? UseDecision.OUTCOME_UNKNOWN
                        : txn.state == State.DEAD ? UseDecision.DEAD : UseDecision.UNKNOWN;
    }

    /** Whether its engine drains, so that it can only be ended. */
    public boolean isDraining(Transaction<H> txn) {
        return txn.isLive() && txn.drainDeadline > 0;
    }

    // ---- Savepoints
    // -----------------------------------------------------------------------------------
    /** A savepoint that the engine made. */
    public String addSavepoint(Transaction<H> txn, H handle) {
        String name = names.get();
        txn.savepoints.put(name, handle);
        return name;
    }

    /** The engine's handle of a savepoint, or null where there is none of that name any more. */
    public H savepointHandle(Transaction<H> txn, String name) {
        return txn.savepoints.get(name);
    }

    /**
     * The transaction and name of a savepoint of this owner, which may be in any of its
     * transactions.
     */
    public Transaction<H> findBySavepoint(String owner, String name) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.owner.equals(owner) && txn.savepoints.containsKey(name)) {
                return txn;
            }
        }
        return null;
    }

    /** Rolled back to: later ones are gone. Released: this one, too. */
    public void savepointEnded(Transaction<H> txn, String name, boolean released) {
        List<String> names = new ArrayList<>(txn.savepoints.keySet());
        int at = names.indexOf(name);
        if (at >= 0) {
            names.subList(released ? at : at + 1, names.size()).forEach(txn.savepoints::remove);
        }
    }

    // ---- Time and engines
    // -----------------------------------------------------------------------------
    /** The engine's process has ended. */
    public void engineLost(long now, long engine) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.engine == engine && txn.isLive()) {
                boolean commit = txn.state == State.ENDING && txn.endingBy == Purpose.COMMIT;
                txn.outcomeUnknown = commit;
                txn.endReason = "its engine was lost";
                end(now, txn, commit ? State.ENDED : State.DEAD);
            }
        }
    }

    /** The engine drains: what is left of the time is for ending its transactions. */
    public void engineDraining(long now, long engine) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.engine == engine && txn.isLive() && txn.drainDeadline == 0) {
                txn.drainDeadline = now + limits.drainTimeoutUs;
            }
        }
    }

    /** The engine takes work again: what the drain had not ended goes on. */
    public void engineReady(long now, long engine) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.engine == engine && txn.isLive() && txn.drainDeadline > now) {
                txn.drainDeadline = 0;
            }
        }
    }

    /** The client is gone: what it has open is to be rolled back. */
    public void clientGone(long now, String owner) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.owner.equals(owner) && txn.isLive()) {
                txn.abandoned = true;
            }
        }
    }

    /**
     * What has to be rolled back at its engine now, and counts as dead from here on: idle past its
     * lease, left by its client, or on an engine whose drain leaves no more time. Ended ones are
     * forgotten in time.
     */
    public List<Transaction<H>> takeExpired(long now) {
        List<Transaction<H>> out = new ArrayList<>();
        for (Transaction<H> txn : transactions.values()) {
            boolean drained = txn.drainDeadline > 0 && now >= txn.drainDeadline;
            if (txn.state == State.OPEN
                    && (drained || txn.abandoned || now - txn.lastUsedAt >= limits.idleTimeoutUs)) {
                kill(
                        now,
                        txn,
                        drained
                                ? "its engine drained"
                                : txn.abandoned
                                        ? "it was left by its client"
                                        : "it idled past its lease");
                out.add(txn);
            } else if (txn.isLive() && drained) {
                boolean commit = txn.state == State.ENDING && txn.endingBy == Purpose.COMMIT;
                if (!commit) { // A commit that is out has its answer, or none.
                    kill(now, txn, "its engine drained");
                }
            }
        }
        transactions.values().removeIf(txn -> !txn.isLive() && now >= txn.forgetAt);
        return out;
    }

    public int openTransactions() {
        return (int) transactions.values().stream().filter(Transaction::isLive).count();
    }

    public int openOnEngine(long engine) {
        return countPerEngine.getOrDefault(engine, 0);
    }

    public int openOfClient(String owner) {
        return countPerClient.getOrDefault(owner, 0);
    }
}
