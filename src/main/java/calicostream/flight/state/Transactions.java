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
    public enum Answer {
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
    public enum Result {
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
    public record Bounds(int ofClient, int onEngine, long leaseUs, long drainUs, long rememberUs) {}

    /** One transaction. */
    public static final class Txn<H> {
        public final String name;
        public final String owner;
        public final long engine;
        public final H handle;
        private final LinkedHashMap<String, H> savepoints = new LinkedHashMap<>();
        private State state = State.OPEN;
        private Purpose ending;
        private long usedAt, drainUntil, forgetAt;
        private boolean outcomeUnknown, rollback;
        private String why = "";

        private Txn(String name, String owner, long engine, H handle, long now) {
            this.name = name;
            this.owner = owner;
            this.engine = engine;
            this.handle = handle;
            usedAt = now;
        }

        /** Why it is dead, in words for its client. */
        public String why() {
            return why;
        }

        private boolean isLive() {
            return state == State.OPEN || state == State.BUSY || state == State.ENDING;
        }
    }

    private final Supplier<String> names;
    private final Bounds bounds;
    private final Map<String, Txn<H>> all = new LinkedHashMap<>();
    private final Map<String, Integer> ofClient = new HashMap<>();
    private final Map<Long, Integer> onEngine = new HashMap<>();

    public Transactions(Supplier<String> names, Bounds bounds) {
        this.names = names;
        this.bounds = bounds;
    }

    // ---- Beginning
    // ------------------------------------------------------------------------------------
    /**
     * Counts a transaction that is being begun; false: the client has its share. Ends with begun or
     * notBegun.
     */
    public boolean mayBegin(String owner) {
        if (ofClient.getOrDefault(owner, 0) >= bounds.ofClient) {
            return false;
        }
        ofClient.merge(owner, 1, Integer::sum);
        return true;
    }

    /** The engine did not begin it, or its client does not want it any more. */
    public void notBegun(String owner) {
        ofClient.compute(owner, (name, n) -> n == 1 ? null : n - 1);
    }

    /**
     * The engine began it. Null: the engine has its share, and the engine's transaction is to be
     * rolled back.
     */
    public Txn<H> begun(long now, String owner, long engine, H handle) {
        if (onEngine.getOrDefault(engine, 0) >= bounds.onEngine) {
            notBegun(owner);
            return null;
        }
        onEngine.merge(engine, 1, Integer::sum);
        Txn<H> made = new Txn<>(names.get(), owner, engine, handle, now);
        all.put(made.name, made);
        return made;
    }

    // ---- Use
    // ------------------------------------------------------------------------------------------
    /** The transaction under this name, if it is this owner's. */
    public Txn<H> find(String owner, String name) {
        Txn<H> found = all.get(name);
        return found == null || !found.owner.equals(owner) ? null : found;
    }

    /** Asks to do something in it; if granted, {@link #done} must follow once. */
    public Answer use(long now, Txn<H> txn, Purpose purpose) {
        if (txn == null || txn.state == State.ENDED && !txn.outcomeUnknown) {
            return Answer.UNKNOWN;
        }
        if (txn.state == State.ENDED) {
            return Answer.OUTCOME_UNKNOWN;
        }
        if (txn.state == State.DEAD || txn.drainUntil > 0 && now >= txn.drainUntil) {
            return Answer.DEAD;
        }
        if (txn.state != State.OPEN) {
            return Answer.IN_USE;
        }
        if (txn.drainUntil > 0 && purpose == Purpose.STATEMENT) {
            return Answer.DRAINING;
        }
        txn.state = purpose == Purpose.STATEMENT ? State.BUSY : State.ENDING;
        txn.ending = purpose;
        txn.usedAt = now;
        return Answer.GRANTED;
    }

    /**
     * What was granted is over. A commit that was lost leaves its outcome unknown, a lost statement
     * the transaction dead. True: the engine is to be told to roll it back, as nobody else will.
     */
    public boolean done(long now, Txn<H> txn, Result result) {
        if (!txn.isLive()) {
            return false;
        }
        txn.usedAt = now;
        boolean ending = txn.state == State.ENDING;
        if (result == Result.NEVER_SENT || !ending && result == Result.DONE) {
            txn.state = State.OPEN;
            return false;
        }
        if (!ending) {
            kill(now, txn, "a statement in it was lost");
            return true;
        }
        if (result == Result.DONE) {
            end(now, txn, State.ENDED);
            return false;
        }
        txn.outcomeUnknown = txn.ending == Purpose.COMMIT;
        txn.why = "its end was lost on the way";
        end(now, txn, txn.outcomeUnknown ? State.ENDED : State.DEAD);
        return !txn.outcomeUnknown;
    }

    private void kill(long now, Txn<H> txn, String why) {
        txn.why = why;
        end(now, txn, State.DEAD);
    }

    private void end(long now, Txn<H> txn, State state) {
        txn.state = state;
        txn.forgetAt = now + bounds.rememberUs;
        txn.savepoints.clear();
        ofClient.compute(txn.owner, (name, n) -> n == 1 ? null : n - 1);
        onEngine.compute(txn.engine, (engine, n) -> n == 1 ? null : n - 1);
    }

    /** How it stands, with nothing done about it; GRANTED: it lives. */
    public Answer standing(Txn<H> txn) {
        return txn.isLive()
                ? Answer.GRANTED
                : txn.outcomeUnknown
                        ? Answer.OUTCOME_UNKNOWN
                        : txn.state == State.DEAD ? Answer.DEAD : Answer.UNKNOWN;
    }

    /** Whether its engine drains, so that it can only be ended. */
    public boolean isDraining(Txn<H> txn) {
        return txn.isLive() && txn.drainUntil > 0;
    }

    // ---- Savepoints
    // -----------------------------------------------------------------------------------
    /** A savepoint that the engine made. */
    public String mark(Txn<H> txn, H handle) {
        String name = names.get();
        txn.savepoints.put(name, handle);
        return name;
    }

    /** The engine's handle of a savepoint, or null where there is none of that name any more. */
    public H savepoint(Txn<H> txn, String name) {
        return txn.savepoints.get(name);
    }

    /**
     * The transaction and name of a savepoint of this owner, which may be in any of its
     * transactions.
     */
    public Txn<H> withSavepoint(String owner, String name) {
        for (Txn<H> txn : all.values()) {
            if (txn.owner.equals(owner) && txn.savepoints.containsKey(name)) {
                return txn;
            }
        }
        return null;
    }

    /** Rolled back to: later ones are gone. Released: this one, too. */
    public void savepointEnded(Txn<H> txn, String name, boolean released) {
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
        for (Txn<H> txn : all.values()) {
            if (txn.engine == engine && txn.isLive()) {
                boolean commit = txn.state == State.ENDING && txn.ending == Purpose.COMMIT;
                txn.outcomeUnknown = commit;
                txn.why = "its engine was lost";
                end(now, txn, commit ? State.ENDED : State.DEAD);
            }
        }
    }

    /** The engine drains: what is left of the time is for ending its transactions. */
    public void engineDrains(long now, long engine) {
        for (Txn<H> txn : all.values()) {
            if (txn.engine == engine && txn.isLive() && txn.drainUntil == 0) {
                txn.drainUntil = now + bounds.drainUs;
            }
        }
    }

    /** The engine takes work again: what the drain had not ended goes on. */
    public void engineReady(long now, long engine) {
        for (Txn<H> txn : all.values()) {
            if (txn.engine == engine && txn.isLive() && txn.drainUntil > now) {
                txn.drainUntil = 0;
            }
        }
    }

    /** The client is gone: what it has open is to be rolled back. */
    public void left(long now, String owner) {
        for (Txn<H> txn : all.values()) {
            if (txn.owner.equals(owner) && txn.isLive()) {
                txn.rollback = true;
            }
        }
    }

    /**
     * What has to be rolled back at its engine now, and counts as dead from here on: idle past its
     * lease, left by its client, or on an engine whose drain leaves no more time. Ended ones are
     * forgotten in time.
     */
    public List<Txn<H>> due(long now) {
        List<Txn<H>> out = new ArrayList<>();
        for (Txn<H> txn : all.values()) {
            boolean drained = txn.drainUntil > 0 && now >= txn.drainUntil;
            if (txn.state == State.OPEN
                    && (drained || txn.rollback || now - txn.usedAt >= bounds.leaseUs)) {
                kill(
                        now,
                        txn,
                        drained
                                ? "its engine drained"
                                : txn.rollback
                                        ? "it was left by its client"
                                        : "it idled past its lease");
                out.add(txn);
            } else if (txn.isLive() && drained) {
                boolean commit = txn.state == State.ENDING && txn.ending == Purpose.COMMIT;
                if (!commit) { // A commit that is out has its answer, or none.
                    kill(now, txn, "its engine drained");
                }
            }
        }
        all.values().removeIf(txn -> !txn.isLive() && now >= txn.forgetAt);
        return out;
    }

    public int live() {
        return (int) all.values().stream().filter(Txn::isLive).count();
    }

    public int liveOn(long engine) {
        return onEngine.getOrDefault(engine, 0);
    }

    public int liveOf(String owner) {
        return ofClient.getOrDefault(owner, 0);
    }
}
