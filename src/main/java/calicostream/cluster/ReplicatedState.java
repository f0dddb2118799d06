// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The one machine that all voters apply alike: sessions, eras, and the named {@link StateMachine}s
 * composed into it. Pure, one thread; it reads no clock, and a leader's entry counts only in the
 * era in which the leader counted. What throws here ({@link ClusterException.Malformed}, {@link
 * ClusterException.UnknownMachine}, a machine's fault) has to stop the voter, since its copy would
 * differ from then on.
 */
public final class ReplicatedState {
    /** Of a snapshot; the first had no generations of voters, and is still read. */
    private static final int VERSION = 2;

    private static final int MAX_PART = 1 << 28;

    /** An event and the machine it is of; "" for this layer's own. */
    public record StateChange(String machine, long index, CommandEffects.Event event) {}

    private final SortedMap<String, StateMachine> machines;
    private SessionTable sessions = new SessionTable();
    private VoterGenerations voters = new VoterGenerations();
    private long appliedIndex;
    private long epoch;
    private ReplicatedEntry.EpochStart epochStart = new ReplicatedEntry.EpochStart(0, 0);
    private List<StateChange> news = new ArrayList<>();

    /**
     * @param machines by name; the same at all voters, names of at most {@link
     *     ReplicatedEntry#MAX_NAME_BYTES} bytes
     */
    public ReplicatedState(Map<String, StateMachine> machines) {
        this.machines = new TreeMap<>(machines);
    }

    /** The last index applied; 0 at first. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** The present leader's era; 0 before the first. */
    public long epoch() {
        return epoch;
    }

    /** Who began the present era, and its mark. */
    public ReplicatedEntry.EpochStart epochStart() {
        return epochStart;
    }

    public boolean hasMachine(String machine) {
        return machines.containsKey(machine);
    }

    public boolean isAlive(long session) {
        return sessions.isAlive(session);
    }

    /** Whether this generation of a member may be added to the voters, by what is applied here. */
    public boolean mayAddVoter(int member, int generation) {
        return voters.mayAdd(member, generation);
    }

    /** The least generation under which a member may come back as somebody new. */
    public int nextGeneration(int member) {
        return voters.next(member);
    }

    SessionTable sessions() {
        return sessions;
    }

    /** What happened since this was last called; empty after a restart, so news are no orders. */
    public List<StateChange> drainStateChanges() {
        List<StateChange> taken = news;
        news = new ArrayList<>();
        return taken;
    }

    /** Applies one entry of the log. */
    public CommandOutcome apply(long index, byte[] bytes) {
        if (index <= appliedIndex) {
            throw new IllegalStateException("index " + index + " after " + appliedIndex);
        }
        ReplicatedEntry entry = ReplicatedEntry.decode(bytes);
        appliedIndex = index;
        if (entry instanceof ReplicatedEntry.RunCommand run) {
            StateMachine machine = machine(run.machine());
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
        } else if (entry instanceof ReplicatedEntry.KeepAlive keep) {
            return sessions.keep(index, keep.session());
        } else if (entry instanceof ReplicatedEntry.OpenSession open) {
            return sessions.open(index, open);
        } else if (entry instanceof ReplicatedEntry.CloseSession close) {
            if (sessions.close(close.session())) {
                ended(index, close.session(), "session-closed");
            }
            return done(index);
        } else if (entry instanceof ReplicatedEntry.EpochStart began) {
            epoch = index;
            epochStart = began;
            machines.forEach(
                    (name, machine) -> told(name, index, machine.epochStarted(index, epoch)));
            return done(index);
        } else if (entry instanceof ReplicatedEntry.ExpireSession expire) {
            if (expire.epoch() == epoch && sessions.expire(expire)) {
                ended(index, expire.session(), "session-expired");
            }
            return done(index);
        } else if (entry instanceof ReplicatedEntry.LeaderCommand timed) {
            if (timed.epoch() != epoch) {
                return CommandOutcome.failed(
                        index, ClusterException.OldEra.CODE, timed.epoch(), epoch);
            }
            StateMachine machine = machine(timed.machine());
            return told(
                    timed.machine(),
                    index,
                    machine.apply(index, new Command(0, 0, epoch, timed.body())));
        }
        if (entry instanceof ReplicatedEntry.AddVoter add) {
            return voters.add(index, add);
        } else if (entry instanceof ReplicatedEntry.RemoveVoter remove) {
            return voters.remove(index, remove);
        }
        throw new IllegalStateException("an entry of no kind: " + entry);
    }

    /** Asks a machine; changes nothing. */
    public byte[] query(String machine, byte[] question) {
        return machine(machine).query(question);
    }

    private StateMachine machine(String name) {
        StateMachine machine = machines.get(name);
        if (machine == null) {
            throw new ClusterException.UnknownMachine(name);
        }
        return machine;
    }

    private void ended(long index, long session, String kind) {
        news.add(
                new StateChange(
                        "",
                        index,
                        new CommandEffects.Event(
                                kind, new BinaryCodec.Writer().i64(session).toByteArray())));
        machines.forEach(
                (name, machine) -> told(name, index, machine.sessionEnded(index, session)));
    }

    private CommandOutcome told(String name, long index, CommandEffects effects) {
        if (effects.response().length > CommandOutcome.MAX_RESPONSE_BYTES) {
            throw new ClusterException.TooLarge(
                    "answer of " + name,
                    effects.response().length,
                    CommandOutcome.MAX_RESPONSE_BYTES);
        }
        for (CommandEffects.Event event : effects.events()) {
            news.add(new StateChange(name, index, event));
        }
        return CommandOutcome.of(index, effects);
    }

    private static CommandOutcome done(long index) {
        return new CommandOutcome(CommandOutcome.Kind.ACCEPTED, index, "", new byte[0]);
    }

    /** Equal states give equal bytes. */
    public byte[] snapshot() {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer()
                        .u8(VERSION)
                        .i64(appliedIndex)
                        .i64(epoch)
                        .i32(epochStart.member())
                        .i64(epochStart.nonce());
        sessions.write(out);
        voters.write(out);
        out.i32(machines.size());
        machines.forEach((name, machine) -> out.text(name).blob(machine.snapshot()));
        return out.toByteArray();
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
        BinaryCodec.Reader in = new BinaryCodec.Reader("snapshot", snapshot);
        int version = in.u8();
        if (version < 1 || version > VERSION) {
            throw in.malformed("version " + version + " is not in 1.." + VERSION);
        }
        long at = in.i64();
        long eraThen = in.i64();
        ReplicatedEntry.EpochStart leaderThen = new ReplicatedEntry.EpochStart(in.i32(), in.i64());
        SessionTable sessionsThen = SessionTable.read(in);
        VoterGenerations votersThen =
                version < 2 ? new VoterGenerations() : VoterGenerations.read(in);
        Map<String, byte[]> parts = new TreeMap<>();
        for (int left = in.count(8); left > 0; left--) {
            String name = in.text(ReplicatedEntry.MAX_NAME_BYTES);
            machine(name);
            parts.put(name, in.blob(MAX_PART));
        }
        in.requireEnd();
        parts.forEach((name, part) -> machine(name).restore(part));
        appliedIndex = at;
        epoch = eraThen;
        epochStart = leaderThen;
        sessions = sessionsThen;
        voters = votersThen;
        news = new ArrayList<>();
    }
}
