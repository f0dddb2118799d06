// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.StateLossDetector.Seen;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A member that writes at random from one seed on two faulty disks, and a plain account of what it
 * wrote. After an opening the account says whether all that was promised is there and nothing that
 * was never written.
 */
final class Play {

    static final LogIdentity WHO = new LogIdentity("site", "a");

    /** What a log says; {@code entries} are all since the last jump. */
    record State(
            long term,
            String vote,
            String note,
            List<Long> snapshots,
            TreeMap<Long, String> entries,
            long last) {
        static final State EMPTY = new State(0, "", "", List.of(), new TreeMap<>(), 0);

        State with(long newTerm, String newVote) {
            return new State(newTerm, newVote, note, snapshots, entries, last);
        }

        State noted(String text) {
            return new State(term, vote, text, snapshots, entries, last);
        }

        State appended(String text) {
            TreeMap<Long, String> more = new TreeMap<>(entries);
            more.put(last + 1, text);
            return new State(term, vote, note, snapshots, more, last + 1);
        }

        State cut(long index) {
            return new State(
                    term, vote, note, snapshots, new TreeMap<>(entries.headMap(index)), index - 1);
        }

        State snapshot(long index) {
            List<Long> more = new ArrayList<>(snapshots);
            more.add(index);
            boolean jump = index > last;
            return new State(
                    term, vote, note, more, jump ? new TreeMap<>() : entries, jump ? index : last);
        }

        long newest() {
            return snapshots.isEmpty() ? 0 : snapshots.get(snapshots.size() - 1);
        }
    }

    final FaultyDisk.Power power;
    final FaultyDisk log;
    final FaultyDisk marks;
    final Random random;
    DurableLog durable;

    /** The first was promised, each further one is a call later. */
    final List<State> since = new ArrayList<>(List.of(State.EMPTY));

    /** Every state that ever was promised. */
    final List<State> promised = new ArrayList<>(List.of(State.EMPTY));

    private long pending;

    /** What two peers remember of it. */
    Seen seen = Seen.NOTHING;

    int admitted;

    Play(long seed) {
        power = new FaultyDisk.Power(seed * 31 + 7);
        log = new FaultyDisk("log", power);
        marks = new FaultyDisk("marks", power);
        random = new Random(seed);
    }

    static LogOptions options(FaultyDisk.Power power) {
        return new LogOptions(400, 1_000_000_000L, false, () -> power.now);
    }

    void open() throws DurableException {
        durable = DurableLog.open(log, marks, WHO, options(power));
        if (durable.recovered().own().standing() == StateLossDetector.Standing.FRESH) {
            durable.admit();
            admitted++;
        }
    }

    StateLossDetector.Answer judge() {
        return StateLossDetector.judge(
                durable.recovered().own(),
                true,
                Set.of("b", "c"),
                Map.of("b", seen, "c", Seen.NOTHING));
    }

    private State now() {
        return since.get(since.size() - 1);
    }

    private void acked() {
        State now = now();
        since.clear();
        since.add(now);
        promised.add(now);
        long voteTerm = now.vote().equals("b") ? now.term() : seen.voteTerm();
        seen =
                new Seen(
                        durable.recovered().own().incarnation(),
                        now.term(),
                        now.last(),
                        voteTerm,
                        false,
                        true);
    }

    /** After a sync of the caller's own. */
    void promisedAll() {
        if (pending > 0) since.add(now().snapshot(pending));
        pending = 0;
        acked();
    }

    void close() {
        durable.close();
        promisedAll();
    }

    /** After an opening that found {@code state}: all of it has been written anew and synced. */
    void goOn(State state) {
        since.clear();
        since.add(state);
        pending = 0;
        acked();
    }

    void act(int steps) throws DurableException {
        for (int i = 0; i < steps; i++) act();
    }

    private void act() throws DurableException {
        State now = now();
        int draw = random.nextInt(100);
        if (draw < 45) {
            settle();
            String text = "e" + random.nextInt(1000) + "-".repeat(random.nextInt(60));
            State next = now().appended(text);
            since.add(next);
            durable.appendEntry(next.last(), now.term(), text.getBytes());
        } else if (draw < 57) {
            State next =
                    now.with(
                            now.term() + 1,
                            random.nextInt(3) == 0 ? "" : random.nextBoolean() ? "b" : "c");
            since.add(next);
            durable.saveTerm(next.term(), next.vote());
        } else if (draw < 62) {
            State next = now.noted("n" + random.nextInt(100));
            since.add(next);
            durable.saveNote("note", next.note().getBytes());
        } else if (draw < 68 && now.last() > now.newest() && pending == 0) {
            // What was acknowledged is cut by a later leader only.
            State later = now.with(now.term() + 1, "");
            since.add(later);
            durable.saveTerm(later.term(), "");
            State next =
                    later.cut(now.newest() + 1 + random.nextInt((int) (now.last() - now.newest())));
            since.add(next);
            durable.truncateFrom(next.last() + 1);
        } else if (draw < 76 && pending == 0) {
            snapshot(now);
        } else if (draw < 80 && now.newest() > 0) {
            settle();
            durable.truncateUntil(now().newest());
        } else {
            settle();
            durable.sync();
            acked();
        }
    }

    private void snapshot(State now) throws DurableException {
        long index = now.newest() + 1 + random.nextInt((int) (now.last() - now.newest() + 1));
        if (index > now.last()) index = now.last() + 1 + random.nextInt(5);
        int of = 1 + random.nextInt(3);
        boolean whole = random.nextInt(5) > 0;
        for (int chunk = of - 1; chunk >= (whole ? 0 : 1); chunk--)
            durable.snapshotChunk(index, 1, chunk, of, chunk(index, chunk));
        if (whole) pending = index;
    }

    /** A whole snapshot counts from the next call that syncs. */
    private void settle() throws DurableException {
        if (pending == 0) return;
        since.add(now().snapshot(pending));
        durable.sync();
        pending = 0;
        acked();
    }

    private static byte[] chunk(long index, int chunk) {
        return ("snapshot " + index + " chunk " + chunk).getBytes();
    }

    /**
     * The state among those that may be there which was found, or null; {@code passed}: a snapshot
     * may have been passed over.
     */
    State found(boolean passed) {
        RecoveredState recovered = durable.recovered();
        long newest = recovered.snapshot() == null ? 0 : recovered.snapshot().index();
        for (int i = since.size() - 1; i >= 0; i--) {
            State state = since.get(i);
            if (is(state, recovered) && (passed || state.newest() == newest)) return state;
        }
        return null;
    }

    /** Whether what was found was true once. */
    boolean wasPromised() {
        RecoveredState recovered = durable.recovered();
        return promised.stream().anyMatch(state -> is(state, recovered));
    }

    /**
     * A generation that is not the newest does, as long as the entries lead from it to the same
     * end.
     */
    private static boolean is(State state, RecoveredState recovered) {
        if (recovered.term() != state.term() || !recovered.votedFor().equals(state.vote()))
            return false;
        byte[] note = recovered.notes().get("note");
        if (!state.note().equals(note == null ? "" : new String(note))) return false;
        long from = 0;
        if (recovered.snapshot() != null) {
            from = recovered.snapshot().index();
            if (!state.snapshots().contains(from)) return false;
            for (int i = 0; i < recovered.snapshot().chunks().size(); i++)
                if (!Arrays.equals(recovered.snapshot().chunks().get(i), chunk(from, i)))
                    return false;
        }
        if (recovered.lastIndex() != state.last()
                || recovered.entries().size() != state.last() - from) return false;
        for (RecoveredState.Entry entry : recovered.entries())
            if (entry.index() != ++from
                    || !new String(entry.bytes()).equals(state.entries().get(from))) return false;
        return true;
    }

    void cut(int kind) {
        log.cut(kind);
        marks.cut(kind);
    }

    void killed() {
        log.killed();
        marks.killed();
    }
}
