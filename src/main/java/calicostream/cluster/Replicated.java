// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The one machine that all voters apply alike: sessions, eras, and the named {@link Machine}s
 * composed into it. Pure, one thread; it reads no clock, and a leader's entry counts only in the
 * era in which the leader counted. What throws here ({@link ClusterException.Malformed}, {@link
 * ClusterException.UnknownMachine}, a machine's fault) has to stop the voter, since its copy would
 * differ from then on.
 */
public final class Replicated {
    /** Of a snapshot; the first had no generations of voters, and is still read. */
    private static final int VERSION = 2;

    private static final int MAX_PART = 1 << 28;

    /** An event and the machine it is of; "" for this layer's own. */
    public record News(String machine, long index, Effects.Event event) {}

    private final SortedMap<String, Machine> machines;
    private Sessions sessions = new Sessions();
    private VoterGenerations voters = new VoterGenerations();
    private long applied;
    private long era;
    private Entry.Era leader = new Entry.Era(0, 0);
    private List<News> news = new ArrayList<>();

    /**
     * @param machines by name; the same at all voters, names of at most {@link Entry#MAX_NAME}
     *     bytes
     */
    public Replicated(Map<String, Machine> machines) {
        this.machines = new TreeMap<>(machines);
    }

    /** The last index applied; 0 at first. */
    public long applied() {
        return applied;
    }

    /** The present leader's era; 0 before the first. */
    public long era() {
        return era;
    }

    /** Who began the present era, and its mark. */
    public Entry.Era leader() {
        return leader;
    }

    public boolean knows(String machine) {
        return machines.containsKey(machine);
    }

    public boolean isAlive(long session) {
        return sessions.isAlive(session);
    }

    /** Whether this generation of a member may be added to the voters, by what is applied here. */
    public boolean mayAdd(int member, int generation) {
        return voters.mayAdd(member, generation);
    }

    /** The least generation under which a member may come back as somebody new. */
    public int nextGeneration(int member) {
        return voters.next(member);
    }

    Sessions sessions() {
        return sessions;
    }

    /** What happened since this was last called; empty after a restart, so news are no orders. */
    public List<News> takeNews() {
        List<News> taken = news;
        news = new ArrayList<>();
        return taken;
    }

    /** Applies one entry of the log. */
    public Outcome apply(long index, byte[] bytes) {
        if (index <= applied) {
            throw new IllegalStateException("index " + index + " after " + applied);
        }
        Entry entry = Entry.decode(bytes);
        applied = index;
        if (entry instanceof Entry.Run run) {
            Machine machine = machine(run.machine());
            return sessions.run(
                    index,
                    run,
                    () ->
                            told(
                                    run.machine(),
                                    index,
                                    machine.apply(
                                            index,
                                            new Command(
                                                    run.session(),
                                                    run.sequence(),
                                                    0,
                                                    run.body()))));
        } else if (entry instanceof Entry.Keep keep) {
            return sessions.keep(index, keep.session());
        } else if (entry instanceof Entry.Open open) {
            return sessions.open(index, open);
        } else if (entry instanceof Entry.Close close) {
            if (sessions.close(close.session())) {
                ended(index, close.session(), "session-closed");
            }
            return done(index);
        } else if (entry instanceof Entry.Era began) {
            era = index;
            leader = began;
            machines.forEach((name, machine) -> told(name, index, machine.eraBegan(index, era)));
            return done(index);
        } else if (entry instanceof Entry.Expire expire) {
            if (expire.era() == era && sessions.expire(expire)) {
                ended(index, expire.session(), "session-expired");
            }
            return done(index);
        } else if (entry instanceof Entry.Timed timed) {
            if (timed.era() != era) {
                return Outcome.failed(index, ClusterException.OldEra.CODE, timed.era(), era);
            }
            Machine machine = machine(timed.machine());
            return told(
                    timed.machine(),
                    index,
                    machine.apply(index, new Command(0, 0, era, timed.body())));
        }
        if (entry instanceof Entry.AddVoter add) {
            return voters.add(index, add);
        } else if (entry instanceof Entry.RemoveVoter remove) {
            return voters.remove(index, remove);
        }
        throw new IllegalStateException("an entry of no kind: " + entry);
    }

    /** Asks a machine; changes nothing. */
    public byte[] query(String machine, byte[] question) {
        return machine(machine).query(question);
    }

    private Machine machine(String name) {
        Machine machine = machines.get(name);
        if (machine == null) {
            throw new ClusterException.UnknownMachine(name);
        }
        return machine;
    }

    private void ended(long index, long session, String kind) {
        news.add(
                new News(
                        "",
                        index,
                        new Effects.Event(kind, new Bytes.Writer().i64(session).done())));
        machines.forEach(
                (name, machine) -> told(name, index, machine.sessionEnded(index, session)));
    }

    private Outcome told(String name, long index, Effects effects) {
        if (effects.answer().length > Outcome.MAX_ANSWER) {
            throw new ClusterException.TooLarge(
                    "answer of " + name, effects.answer().length, Outcome.MAX_ANSWER);
        }
        for (Effects.Event event : effects.events()) {
            news.add(new News(name, index, event));
        }
        return Outcome.of(index, effects);
    }

    private static Outcome done(long index) {
        return new Outcome(Outcome.Kind.ACCEPTED, index, "", new byte[0]);
    }

    /** Equal states give equal bytes. */
    public byte[] snapshot() {
        Bytes.Writer out =
                new Bytes.Writer()
                        .u8(VERSION)
                        .i64(applied)
                        .i64(era)
                        .i32(leader.member())
                        .i64(leader.nonce());
        sessions.write(out);
        voters.write(out);
        out.i32(machines.size());
        machines.forEach((name, machine) -> out.text(name).blob(machine.snapshot()));
        return out.done();
    }

    /**
     * Replaces the whole state. A machine that the snapshot does not know was new since then and
     * stays as it is, for there was no command for it.
     *
     * @throws ClusterException.Malformed if the bytes are no snapshot; this voter has to stop, its
     *     state may be mixed
     * @throws ClusterException.UnknownMachine if it has a machine that this build has not
     */
    public void restore(byte[] snapshot) {
        Bytes.Reader in = new Bytes.Reader("snapshot", snapshot);
        int version = in.u8();
        if (version < 1 || version > VERSION) {
            throw in.malformed("version " + version + " is not in 1.." + VERSION);
        }
        long at = in.i64();
        long eraThen = in.i64();
        Entry.Era leaderThen = new Entry.Era(in.i32(), in.i64());
        Sessions sessionsThen = Sessions.read(in);
        VoterGenerations votersThen =
                version < 2 ? new VoterGenerations() : VoterGenerations.read(in);
        Map<String, byte[]> parts = new TreeMap<>();
        for (int left = in.count(8); left > 0; left--) {
            String name = in.text(Entry.MAX_NAME);
            machine(name);
            parts.put(name, in.blob(MAX_PART));
        }
        in.end();
        parts.forEach((name, part) -> machine(name).restore(part));
        applied = at;
        era = eraThen;
        leader = leaderThen;
        sessions = sessionsThen;
        voters = votersThen;
        news = new ArrayList<>();
    }
}
