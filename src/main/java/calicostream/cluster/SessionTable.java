// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The members' sessions: pure, a part of {@link ReplicatedState}, one thread. A session's number is
 * the index of the entry that opened it; its commands count once each, by number, and their
 * outcomes are kept until the member no longer needs them. It has a time to live but no clock: that
 * the time ran out is told by {@link #expire}.
 */
final class SessionTable {
    /** Commands of one session whose outcomes are kept. */
    static final int MAX_KEPT_OUTCOMES = 64;

    /** Of one fleet; a member that opens without end must not fill the voters' memory. */
    static final int MAX_SESSIONS = 4096;

    static final int MAX_SESSIONS_PER_MEMBER = 16;
    static final int MIN_TTL_MILLIS = 10;
    static final int MAX_TTL_MILLIS = 3_600_000;

    /** One session; read-only outside. */
    static final class Session {
        final long id;
        final int member;
        final long nonce;
        final int ttlMillis;
        private long renewed;
        private long last;
        private long acked;
        private final TreeMap<Long, CommandOutcome> outcomes = new TreeMap<>();

        Session(long id, int member, long nonce, int ttlMillis) {
            this.id = id;
            this.member = member;
            this.nonce = nonce;
            this.ttlMillis = ttlMillis;
            this.renewed = id;
        }

        /** The index at which the member was last heard. */
        long renewed() {
            return renewed;
        }
    }

    private final TreeMap<Long, Session> alive = new TreeMap<>();

    Collection<Session> alive() {
        return Collections.unmodifiableCollection(alive.values());
    }

    Optional<Session> find(long session) {
        return Optional.ofNullable(alive.get(session));
    }

    boolean isAlive(long session) {
        return alive.containsKey(session);
    }

    CommandOutcome open(long index, ReplicatedEntry.OpenSession open) {
        if (open.ttlMillis() < MIN_TTL_MILLIS || open.ttlMillis() > MAX_TTL_MILLIS) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.BadTtl.CODE,
                    open.ttlMillis(),
                    MIN_TTL_MILLIS,
                    MAX_TTL_MILLIS);
        }
        int ofMember = 0;
        for (Session session : alive.values()) {
            if (session.member == open.member()) {
                if (session.nonce == open.nonce()) {
                    session.renewed = index;
                    return opened(index, session);
                }
                ofMember++;
            }
        }
        if (ofMember >= MAX_SESSIONS_PER_MEMBER || alive.size() >= MAX_SESSIONS) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.TooManySessions.CODE,
                    open.member(),
                    ofMember,
                    alive.size());
        }
        Session session = new Session(index, open.member(), open.nonce(), open.ttlMillis());
        alive.put(index, session);
        return opened(index, session);
    }

    private static CommandOutcome opened(long index, Session session) {
        return new CommandOutcome(
                CommandOutcome.Kind.ACCEPTED,
                index,
                "",
                new BinaryCodec.Writer().i64(session.id).toByteArray());
    }

    CommandOutcome keep(long index, long id) {
        Session session = alive.get(id);
        if (session == null) {
            return over(index, id);
        }
        session.renewed = index;
        return new CommandOutcome(CommandOutcome.Kind.ACCEPTED, index, "", new byte[0]);
    }

    /**
     * Runs {@code apply} if this command's turn is now; else answers what was answered, or why not.
     */
    CommandOutcome run(long index, ReplicatedEntry.RunCommand run, Supplier<CommandOutcome> apply) {
        Session session = alive.get(run.session());
        if (session == null) {
            return over(index, run.session());
        }
        session.renewed = index;
        long sequence = run.sequence();
        if (sequence <= session.acked
                || sequence > session.last + 1
                || run.acknowledgedSequence() >= sequence) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.OutOfOrder.CODE,
                    session.id,
                    sequence,
                    session.last + 1);
        }
        // A late copy of an older packet acknowledges less than is known: the larger of the two
        // holds.
        if (run.acknowledgedSequence() > session.acked) {
            session.acked = run.acknowledgedSequence();
            session.outcomes.headMap(session.acked, true).clear();
        }
        CommandOutcome known = session.outcomes.get(sequence);
        if (known != null) {
            return known;
        }
        if (session.outcomes.size() >= MAX_KEPT_OUTCOMES) {
            return CommandOutcome.failed(
                    index,
                    ClusterException.TooManyOpen.CODE,
                    session.id,
                    session.outcomes.size(),
                    MAX_KEPT_OUTCOMES);
        }
        CommandOutcome outcome = apply.get();
        session.last = sequence;
        session.outcomes.put(sequence, outcome);
        return outcome;
    }

    /**
     * @return whether it was alive
     */
    boolean close(long id) {
        return alive.remove(id) != null;
    }

    /**
     * @return whether it is over by this; not if the member was heard after what the leader had
     *     counted from
     */
    boolean expire(ReplicatedEntry.ExpireSession expire) {
        Session session = alive.get(expire.session());
        if (session == null || session.renewed != expire.renewedIndex()) {
            return false;
        }
        alive.remove(session.id);
        return true;
    }

    private static CommandOutcome over(long index, long id) {
        return CommandOutcome.failed(index, ClusterException.SessionOver.CODE, id, index);
    }

    void write(BinaryCodec.Writer out) {
        out.i32(alive.size());
        for (Session s : alive.values()) {
            out.i64(s.id)
                    .i32(s.member)
                    .i64(s.nonce)
                    .i32(s.ttlMillis)
                    .i64(s.renewed)
                    .i64(s.last)
                    .i64(s.acked);
            out.i32(s.outcomes.size());
            for (Map.Entry<Long, CommandOutcome> outcome : s.outcomes.entrySet()) {
                out.i64(outcome.getKey());
                outcome.getValue().encode(out);
            }
        }
    }

    static SessionTable read(BinaryCodec.Reader in) {
        SessionTable read = new SessionTable();
        for (int left = in.count(52); left > 0; left--) {
            Session s = new Session(in.i64(), in.i32(), in.i64(), in.i32());
            s.renewed = in.i64();
            s.last = in.i64();
            s.acked = in.i64();
            for (int outcomes = in.count(25); outcomes > 0; outcomes--) {
                s.outcomes.put(in.i64(), CommandOutcome.decode(in));
            }
            read.alive.put(s.id, s);
        }
        return read;
    }
}
