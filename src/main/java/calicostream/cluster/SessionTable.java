// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The sessions of all members, a part of {@link ReplicatedState}. A session's number is the index
 * of the entry that opened it. Its commands are applied once each, by sequence number, and their
 * outcomes are kept until the member has acknowledged them. The table has no clock: {@link #expire}
 * tells it that a time to live is over. Pure; used by one thread.
 */
final class SessionTable {
    /** The unacknowledged outcomes that are kept for one session. */
    static final int MAX_KEPT_OUTCOMES = 64;

    /** Of all members: one that opens sessions without end must not fill the voters' memory. */
    static final int MAX_SESSIONS = 4096;

    static final int MAX_SESSIONS_PER_MEMBER = 16;
    static final int MIN_TTL_MILLIS = 10;
    static final int MAX_TTL_MILLIS = 3_600_000;

    /** The encoded size of a session without its outcomes. */
    private static final int MIN_SESSION_BYTES = 52;

    /** The least encoded size of a sequence number with its outcome. */
    private static final int MIN_OUTCOME_BYTES = 25;

    /** One session; not changed outside of the table. */
    static final class Session {
        private final long id;
        private final int member;
        private final long nonce;
        private final int ttlMillis;
        private long renewedIndex;
        private long lastSequence;
        private long acknowledgedSequence;
        private final TreeMap<Long, CommandOutcome> outcomes = new TreeMap<>();

        Session(long id, int member, long nonce, int ttlMillis) {
            this.id = id;
            this.member = member;
            this.nonce = nonce;
            this.ttlMillis = ttlMillis;
            this.renewedIndex = id;
        }

        long id() {
            return id;
        }

        int member() {
            return member;
        }

        int ttlMillis() {
            return ttlMillis;
        }

        /** The index of the member's latest entry, each of which renews the session. */
        long renewedIndex() {
            return renewedIndex;
        }
    }

    private final TreeMap<Long, Session> alive = new TreeMap<>();

    /** A read-only view of the sessions that are alive, in the order they were opened. */
    Collection<Session> alive() {
        return Collections.unmodifiableCollection(alive.values());
    }

    Optional<Session> find(long session) {
        return Optional.ofNullable(alive.get(session));
    }

    boolean isAlive(long session) {
        return alive.containsKey(session);
    }

    /** Opens a session, or renews the one that the same nonce opened before. */
    CommandOutcome open(long index, ReplicatedEntry.OpenSession open) {
        if (open.ttlMillis() < MIN_TTL_MILLIS || open.ttlMillis() > MAX_TTL_MILLIS) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.InvalidSessionTtl.CODE,
                    open.ttlMillis(),
                    MIN_TTL_MILLIS,
                    MAX_TTL_MILLIS);
        }
        int sessionsOfMember = 0;
        for (Session session : alive.values()) {
            if (session.member == open.member()) {
                if (session.nonce == open.nonce()) {
                    session.renewedIndex = index;
                    return opened(index, session);
                }
                sessionsOfMember++;
            }
        }
        if (sessionsOfMember >= MAX_SESSIONS_PER_MEMBER || alive.size() >= MAX_SESSIONS) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.TooManySessions.CODE,
                    open.member(),
                    sessionsOfMember,
                    alive.size());
        }
        Session session = new Session(index, open.member(), open.nonce(), open.ttlMillis());
        alive.put(index, session);
        return opened(index, session);
    }

    private static CommandOutcome opened(long index, Session session) {
        return CommandOutcome.accepted(
                index, new BinaryCodec.Writer().i64(session.id).toByteArray());
    }

    CommandOutcome renew(long index, long id) {
        Session session = alive.get(id);
        if (session == null) {
            return sessionOver(index, id);
        }
        session.renewedIndex = index;
        return CommandOutcome.accepted(index);
    }

    /**
     * Applies the next command of a session; a retry gets the stored outcome instead.
     *
     * @param apply the command's application, called at most once
     */
    CommandOutcome run(long index, ReplicatedEntry.RunCommand run, Supplier<CommandOutcome> apply) {
        Session session = alive.get(run.session());
        if (session == null) {
            return sessionOver(index, run.session());
        }
        session.renewedIndex = index;
        long sequence = run.sequence();
        if (isOutOfOrder(session, run)) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.SequenceOutOfOrder.CODE,
                    session.id,
                    sequence,
                    session.lastSequence + 1);
        }
        acknowledge(session, run.acknowledgedSequence());
        CommandOutcome stored = session.outcomes.get(sequence);
        if (stored != null) {
            return stored;
        }
        if (session.outcomes.size() >= MAX_KEPT_OUTCOMES) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.TooManyUnacknowledged.CODE,
                    session.id,
                    session.outcomes.size(),
                    MAX_KEPT_OUTCOMES);
        }
        CommandOutcome outcome = apply.get();
        session.lastSequence = sequence;
        session.outcomes.put(sequence, outcome);
        return outcome;
    }

    private static boolean isOutOfOrder(Session session, ReplicatedEntry.RunCommand run) {
        return run.sequence() <= session.acknowledgedSequence
                || run.sequence() > session.lastSequence + 1
                || run.acknowledgedSequence() >= run.sequence();
    }

    /** A delayed copy of an older request acknowledges less than is known: the larger one holds. */
    private static void acknowledge(Session session, long sequence) {
        if (sequence > session.acknowledgedSequence) {
            session.acknowledgedSequence = sequence;
            session.outcomes.headMap(sequence, true).clear();
        }
    }

    /**
     * Ends a session at its member's request.
     *
     * @return whether it was alive
     */
    boolean close(long id) {
        return alive.remove(id) != null;
    }

    /**
     * Ends a session unless it was renewed after the renewal that the leader measured from.
     *
     * @return whether this ended it
     */
    boolean expire(ReplicatedEntry.ExpireSession expire) {
        Session session = alive.get(expire.session());
        if (session == null || session.renewedIndex != expire.renewedIndex()) {
            return false;
        }
        alive.remove(session.id);
        return true;
    }

    private static CommandOutcome sessionOver(long index, long id) {
        return CommandOutcome.failed(index, ClusterException.SessionEnded.CODE, id, index);
    }

    void write(BinaryCodec.Writer out) {
        out.i32(alive.size());
        for (Session session : alive.values()) {
            out.i64(session.id)
                    .i32(session.member)
                    .i64(session.nonce)
                    .i32(session.ttlMillis)
                    .i64(session.renewedIndex)
                    .i64(session.lastSequence)
                    .i64(session.acknowledgedSequence);
            out.i32(session.outcomes.size());
            for (Map.Entry<Long, CommandOutcome> outcome : session.outcomes.entrySet()) {
                out.i64(outcome.getKey());
                outcome.getValue().encode(out);
            }
        }
    }

    static SessionTable read(BinaryCodec.Reader in) {
        SessionTable table = new SessionTable();
        for (int remaining = in.count(MIN_SESSION_BYTES); remaining > 0; remaining--) {
            Session session = readSession(in);
            table.alive.put(session.id, session);
        }
        return table;
    }

    private static Session readSession(BinaryCodec.Reader in) {
        Session session = new Session(in.i64(), in.i32(), in.i64(), in.i32());
        session.renewedIndex = in.i64();
        session.lastSequence = in.i64();
        session.acknowledgedSequence = in.i64();
        for (int remaining = in.count(MIN_OUTCOME_BYTES); remaining > 0; remaining--) {
            session.outcomes.put(in.i64(), CommandOutcome.decode(in));
        }
        return session;
    }
}
