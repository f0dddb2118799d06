// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The table of client transactions, each pinned to one engine. A transaction runs one operation at
 * a time, and its operations are never retried on another engine. It ends on commit or rollback, on
 * idle timeout, or with its engine; afterwards a tombstone reports how it ended.
 *
 * <p>States: OPEN, BUSY (a statement runs), ENDING (commit or rollback sent), DEAD and ENDED
 * (tombstones).
 *
 * @param <H> the engine's handle
 */
public final class Transactions<H> {
    /** The operation that a client requests in a transaction. */
    public enum Purpose {
        STATEMENT,
        COMMIT,
        ROLLBACK
    }

    /** Whether an operation is granted, or why not. */
    public enum UseDecision {
        GRANTED,
        UNKNOWN,
        IN_USE,
        DRAINING,
        DEAD,
        OUTCOME_UNKNOWN
    }

    /** The result of an operation; {@code LOST} means that it may or may not have run. */
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
     * Limits on transactions per client and per engine, and the idle timeout, drain timeout and
     * tombstone retention in microseconds.
     */
    public record Limits(
            int perClient,
            int perEngine,
            long idleTimeoutUs,
            long drainTimeoutUs,
            long tombstoneUs) {}

    /** One client transaction, changed by the enclosing table only. */
    public static final class Transaction<H> {
        /** The name that the client uses. */
        public final String name;

        /** The client that owns the transaction. */
        public final String owner;

        /** The connection on which the transaction was begun. */
        public final EngineConnection connection;

        /** The handle of the transaction at the engine. */
        public final H handle;

        private final LinkedHashMap<String, H> savepoints = new LinkedHashMap<>();
        private State state = State.OPEN;
        private Purpose endingBy;
        private long lastUsedAt;
        private long drainDeadline;
        private long forgetAt;
        private boolean outcomeUnknown;
        private boolean abandoned;
        private String endReason = "";

        private Transaction(
                String name, String owner, EngineConnection connection, H handle, long now) {
            this.name = name;
            this.owner = owner;
            this.connection = connection;
            this.handle = handle;
            lastUsedAt = now;
        }

        /** The reason why the transaction is dead, for error messages. */
        public String endReason() {
            return endReason;
        }

        private boolean isAt(long engine) {
            return connection.engine() == engine;
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

    /** Creates an empty table; {@code names} must supply unguessable names. */
    public Transactions(Supplier<String> names, Limits limits) {
        this.names = names;
        this.limits = limits;
    }

    /**
     * Reserves a transaction for a client; false if its limit is reached. {@link #begin} or {@link
     * #releaseReservation} must follow once.
     */
    public boolean reserve(String owner) {
        if (countPerClient.getOrDefault(owner, 0) >= limits.perClient) {
            return false;
        }
        countPerClient.merge(owner, 1, Integer::sum);
        return true;
    }

    /** Releases a reservation whose transaction was not begun or is no longer wanted. */
    public void releaseReservation(String owner) {
        countPerClient.compute(owner, (name, n) -> n == 1 ? null : n - 1);
    }

    /**
     * Adds a transaction that the engine began. Null if the limit of the engine is reached: the
     * reservation is released, and the caller must roll back at the engine.
     */
    public Transaction<H> begin(long now, String owner, EngineConnection connection, H handle) {
        long engine = connection.engine();
        if (countPerEngine.getOrDefault(engine, 0) >= limits.perEngine) {
            releaseReservation(owner);
            return null;
        }
        countPerEngine.merge(engine, 1, Integer::sum);
        Transaction<H> txn = new Transaction<>(names.get(), owner, connection, handle, now);
        transactions.put(txn.name, txn);
        return txn;
    }

    /** The transaction of this name if it belongs to this owner; otherwise null. */
    public Transaction<H> find(String owner, String name) {
        Transaction<H> found = transactions.get(name);
        return found == null || !found.owner.equals(owner) ? null : found;
    }

    /** Requests an operation; if granted, {@link #useEnded} must follow once. */
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
     * Ends a granted operation. A lost commit leaves the outcome unknown; a lost statement makes
     * the transaction dead. True if the caller must roll it back at the engine.
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
        countPerEngine.compute(txn.connection.engine(), (engine, n) -> n == 1 ? null : n - 1);
    }

    /** The current status without side effects; {@code GRANTED} means that it is live. */
    public UseDecision status(Transaction<H> txn) {
        if (txn.isLive()) {
            return UseDecision.GRANTED;
        }
        if (txn.outcomeUnknown) {
            return UseDecision.OUTCOME_UNKNOWN;
        }
        return txn.state == State.DEAD ? UseDecision.DEAD : UseDecision.UNKNOWN;
    }

    /** Whether the engine is draining, so that only commit and rollback are granted. */
    public boolean isDraining(Transaction<H> txn) {
        return txn.isLive() && txn.drainDeadline > 0;
    }

    /** Adds a savepoint that the engine created and returns its name. */
    public String addSavepoint(Transaction<H> txn, H handle) {
        String name = names.get();
        txn.savepoints.put(name, handle);
        return name;
    }

    /** The engine's handle of a savepoint, or null if there is none of that name. */
    public H savepointHandle(Transaction<H> txn, String name) {
        return txn.savepoints.get(name);
    }

    /** The transaction of this owner that contains the savepoint, or null. */
    public Transaction<H> findBySavepoint(String owner, String name) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.owner.equals(owner) && txn.savepoints.containsKey(name)) {
                return txn;
            }
        }
        return null;
    }

    /** Removes the savepoints after this one, and this one too if it was released. */
    public void savepointEnded(Transaction<H> txn, String name, boolean released) {
        List<String> names = new ArrayList<>(txn.savepoints.keySet());
        int at = names.indexOf(name);
        if (at >= 0) {
            names.subList(released ? at : at + 1, names.size()).forEach(txn.savepoints::remove);
        }
    }

    /** Ends the transactions of an engine whose process, or the connection to it, has ended. */
    public void engineLost(long now, long engine) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.isAt(engine) && txn.isLive()) {
                boolean commit = txn.state == State.ENDING && txn.endingBy == Purpose.COMMIT;
                txn.outcomeUnknown = commit;
                txn.endReason = "its engine was lost";
                end(now, txn, commit ? State.ENDED : State.DEAD);
            }
        }
    }

    /** Starts the drain deadline for the transactions of an engine. */
    public void engineDraining(long now, long engine) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.isAt(engine) && txn.isLive() && txn.drainDeadline == 0) {
                txn.drainDeadline = now + limits.drainTimeoutUs;
            }
        }
    }

    /** Starts the drain deadline of a transaction that was begun while its engine was draining. */
    public void engineDrainingSince(long since, Transaction<H> txn) {
        txn.drainDeadline = since + limits.drainTimeoutUs;
    }

    /** Ends a transaction whose connection ended while it was begun. */
    public void connectionEnded(long now, Transaction<H> txn) {
        kill(now, txn, "its engine was lost");
    }

    /** Clears the drain deadline of the transactions of an engine that accepts work again. */
    public void engineReady(long now, long engine) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.isAt(engine) && txn.isLive() && txn.drainDeadline > now) {
                txn.drainDeadline = 0;
            }
        }
    }

    /** Marks the transactions of a disconnected client for rollback. */
    public void clientGone(long now, String owner) {
        for (Transaction<H> txn : transactions.values()) {
            if (txn.owner.equals(owner) && txn.isLive()) {
                txn.abandoned = true;
            }
        }
    }

    /**
     * Marks expired transactions dead and returns those that the caller must roll back at their
     * engines: idle, abandoned, or past the drain deadline. Old tombstones are removed.
     */
    public List<Transaction<H>> takeExpired(long now) {
        List<Transaction<H>> out = new ArrayList<>();
        for (Transaction<H> txn : transactions.values()) {
            boolean drained = txn.drainDeadline > 0 && now >= txn.drainDeadline;
            if (txn.state == State.OPEN
                    && (drained || txn.abandoned || now - txn.lastUsedAt >= limits.idleTimeoutUs)) {
                kill(now, txn, expiryReason(txn, drained));
                out.add(txn);
            } else if (txn.isLive() && drained) {
                boolean commit = txn.state == State.ENDING && txn.endingBy == Purpose.COMMIT;
                // A commit in flight is left to its reply or its loss.
                if (!commit) {
                    kill(now, txn, "its engine drained");
                }
            }
        }
        transactions.values().removeIf(txn -> !txn.isLive() && now >= txn.forgetAt);
        return out;
    }

    private static String expiryReason(Transaction<?> txn, boolean drained) {
        if (drained) {
            return "its engine drained";
        }
        return txn.abandoned ? "it was left by its client" : "it idled past its lease";
    }

    /** The number of live transactions. */
    public int openTransactions() {
        return (int) transactions.values().stream().filter(Transaction::isLive).count();
    }

    /** The engines that have live transactions. */
    public Set<Long> enginesInUse() {
        return Set.copyOf(countPerEngine.keySet());
    }

    /** The number of live transactions of an engine. */
    public int openOnEngine(long engine) {
        return countPerEngine.getOrDefault(engine, 0);
    }

    /** The number of live and reserved transactions of a client. */
    public int openOfClient(String owner) {
        return countPerClient.getOrDefault(owner, 0);
    }
}
