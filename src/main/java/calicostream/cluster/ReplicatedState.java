// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The complete replicated state of a cluster, which every voter builds from the log: sessions,
 * leader epochs, retired voters, and the named {@link StateMachine}s composed into it. It reads no
 * clock; what a leader measured counts only in that leader's epoch. An exception thrown from {@link
 * #apply} or {@link #restore} ({@link ClusterException.Malformed}, {@link
 * ClusterException.UnknownMachine}, a fault of a state machine) has to stop the voter, since its
 * copy would diverge from then on. Pure; used by one thread.
 */
public final class ReplicatedState {
    /** Of the snapshot format; version 1 had no voter generations and is still read. */
    private static final int VERSION = 2;

    private static final int VERSION_WITH_VOTER_GENERATIONS = 2;

    /** The largest snapshot of one state machine. */
    private static final int MAX_MACHINE_SNAPSHOT_BYTES = 1 << 28;

    /** The least encoded size of a state machine's part of a snapshot: two lengths. */
    private static final int MIN_MACHINE_BYTES = 2 * Integer.BYTES;

    /** Name of the state machine in events of this layer itself. */
    private static final String SESSION_LAYER = "";

    private static final String SESSION_CLOSED = "session-closed";
    private static final String SESSION_EXPIRED = "session-expired";

    /**
     * An event and where it happened.
     *
     * @param machine name of the state machine; empty for the session layer's own events
     * @param index of the log entry that caused it
     */
    public record StateChange(String machine, long index, CommandEffects.Event event) {}

    private final SortedMap<String, StateMachine> machines;
    private SessionTable sessions = new SessionTable();
    private VoterGenerations voterGenerations = new VoterGenerations();
    private long appliedIndex;
    private long epoch;
    private ReplicatedEntry.EpochStart epochStart = new ReplicatedEntry.EpochStart(0, 0);
    private List<StateChange> stateChanges = new ArrayList<>();

    /**
     * Starts with the empty state.
     *
     * @param machines by name, the same at all voters; owned by this object from now on. Names have
     *     at most {@link ReplicatedEntry#MAX_NAME_BYTES} bytes
     */
    public ReplicatedState(Map<String, StateMachine> machines) {
        this.machines = new TreeMap<>(machines);
    }

    /** The index of the last applied entry; 0 at first. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** The epoch of the present leader; 0 before the first. */
    public long epoch() {
        return epoch;
    }

    /** The entry that started the present epoch: its leader and that one's nonce. */
    public ReplicatedEntry.EpochStart epochStart() {
        return epochStart;
    }

    /** Whether a state machine of that name is part of this build. */
    public boolean hasMachine(String machine) {
        return machines.containsKey(machine);
    }

    /** Whether a session is alive as of the last applied entry. */
    public boolean isAlive(long session) {
        return sessions.isAlive(session);
    }

    /** Whether this generation of a member may be added to the voters. */
    public boolean mayAddVoter(int member, int generation) {
        return voterGenerations.mayAdd(member, generation);
    }

    /** The least generation under which a member may come back as a new voter. */
    public int nextGeneration(int member) {
        return voterGenerations.next(member);
    }

    SessionTable sessions() {
        return sessions;
    }

    /** Removes and returns the events since the last call; empty after a restart. */
    public List<StateChange> drainStateChanges() {
        List<StateChange> drained = stateChanges;
        stateChanges = new ArrayList<>();
        return drained;
    }

    /**
     * Applies one entry of the log.
     *
     * @param index greater than {@link #appliedIndex}
     * @param bytes an encoded {@link ReplicatedEntry}
     * @return the outcome for the entry's sender
     */
    public CommandOutcome apply(long index, byte[] bytes) {
        if (index <= appliedIndex) {
            throw new IllegalStateException("index " + index + " after " + appliedIndex);
        }
        ReplicatedEntry entry = ReplicatedEntry.decode(bytes);
        appliedIndex = index;
        return entry.isLeaderOnly()
                ? applyLeaderEntry(index, entry)
                : applyMemberEntry(index, entry);
    }

    private CommandOutcome applyMemberEntry(long index, ReplicatedEntry entry) {
        if (entry instanceof ReplicatedEntry.RunCommand run) {
            return runCommand(index, run);
        } else if (entry instanceof ReplicatedEntry.KeepAlive keepAlive) {
            return sessions.renew(index, keepAlive.session());
        } else if (entry instanceof ReplicatedEntry.OpenSession open) {
            return sessions.open(index, open);
        } else if (entry instanceof ReplicatedEntry.CloseSession close) {
            if (sessions.close(close.session())) {
                sessionEnded(index, close.session(), SESSION_CLOSED);
            }
            return CommandOutcome.accepted(index);
        }
        throw new IllegalStateException("unhandled entry " + entry);
    }

    private CommandOutcome applyLeaderEntry(long index, ReplicatedEntry entry) {
        if (entry instanceof ReplicatedEntry.EpochStart start) {
            startEpoch(index, start);
            return CommandOutcome.accepted(index);
        } else if (entry instanceof ReplicatedEntry.ExpireSession expire) {
            if (expire.epoch() == epoch && sessions.expire(expire)) {
                sessionEnded(index, expire.session(), SESSION_EXPIRED);
            }
            return CommandOutcome.accepted(index);
        } else if (entry instanceof ReplicatedEntry.LeaderCommand command) {
            return runLeaderCommand(index, command);
        } else if (entry instanceof ReplicatedEntry.AddVoter add) {
            return voterGenerations.add(index, add);
        } else if (entry instanceof ReplicatedEntry.RemoveVoter remove) {
            return voterGenerations.remove(index, remove);
        }
        throw new IllegalStateException("unhandled entry " + entry);
    }

    private CommandOutcome runCommand(long index, ReplicatedEntry.RunCommand run) {
        // Looked up even for a retry: a voter without the state machine has to stop.
        StateMachine machine = machine(run.machine());
        Command command = new Command(run.session(), run.sequence(), 0, run.body());
        return sessions.run(
                index, run, () -> publish(run.machine(), index, machine.apply(index, command)));
    }

    private CommandOutcome runLeaderCommand(long index, ReplicatedEntry.LeaderCommand entry) {
        if (entry.epoch() != epoch) {
            return CommandOutcome.failed(
                    index, ClusterException.StaleEpoch.CODE, entry.epoch(), epoch);
        }
        StateMachine machine = machine(entry.machine());
        Command command = new Command(0, 0, epoch, entry.body());
        return publish(entry.machine(), index, machine.apply(index, command));
    }

    private void startEpoch(long index, ReplicatedEntry.EpochStart start) {
        epoch = index;
        epochStart = start;
        machines.forEach(
                (name, machine) -> publish(name, index, machine.epochStarted(index, epoch)));
    }

    private void sessionEnded(long index, long session, String eventKind) {
        byte[] body = new BinaryCodec.Writer().i64(session).toByteArray();
        CommandEffects.Event event = new CommandEffects.Event(eventKind, body);
        stateChanges.add(new StateChange(SESSION_LAYER, index, event));
        machines.forEach(
                (name, machine) -> publish(name, index, machine.sessionEnded(index, session)));
    }

    private CommandOutcome publish(String machine, long index, CommandEffects effects) {
        if (effects.response().length > CommandOutcome.MAX_RESPONSE_BYTES) {
            throw new ClusterException.TooLarge(
                    "response of " + machine,
                    effects.response().length,
                    CommandOutcome.MAX_RESPONSE_BYTES);
        }
        for (CommandEffects.Event event : effects.events()) {
            stateChanges.add(new StateChange(machine, index, event));
        }
        return CommandOutcome.of(index, effects);
    }

    /**
     * Queries a state machine without any change.
     *
     * @throws ClusterException.UnknownMachine if there is none of that name
     */
    public byte[] query(String machine, byte[] question) {
        return machine(machine).query(question);
    }

    private StateMachine machine(String name) {
        StateMachine machine = machines.get(name);
        if (machine == null) {
            throw new ClusterException.UnknownStateMachine(name);
        }
        return machine;
    }

    /** Encodes the complete state; equal states give equal bytes. */
    public byte[] snapshot() {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer()
                        .u8(VERSION)
                        .i64(appliedIndex)
                        .i64(epoch)
                        .i32(epochStart.member())
                        .i64(epochStart.nonce());
        sessions.write(out);
        voterGenerations.write(out);
        out.i32(machines.size());
        machines.forEach((name, machine) -> out.text(name).blob(machine.snapshot()));
        return out.toByteArray();
    }

    /**
     * Replaces the complete state. A state machine that the snapshot does not contain is newer than
     * the snapshot and keeps its state, since there was no command for it yet.
     *
     * @throws ClusterException.Malformed if the bytes are not a snapshot; this voter has to stop,
     *     its state may be inconsistent
     * @throws ClusterException.UnknownMachine if it has a state machine that this build has not
     */
    public void restore(byte[] snapshot) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("snapshot", snapshot);
        int version = in.u8();
        if (version < 1 || version > VERSION) {
            throw in.malformed("version " + version + " is not in 1.." + VERSION);
        }
        long newAppliedIndex = in.i64();
        long newEpoch = in.i64();
        ReplicatedEntry.EpochStart newEpochStart =
                new ReplicatedEntry.EpochStart(in.i32(), in.i64());
        SessionTable newSessions = SessionTable.read(in);
        VoterGenerations newGenerations =
                version < VERSION_WITH_VOTER_GENERATIONS
                        ? new VoterGenerations()
                        : VoterGenerations.read(in);
        Map<String, byte[]> machineSnapshots = readMachineSnapshots(in);
        in.requireEnd();
        machineSnapshots.forEach((name, bytes) -> machine(name).restore(bytes));
        appliedIndex = newAppliedIndex;
        epoch = newEpoch;
        epochStart = newEpochStart;
        sessions = newSessions;
        voterGenerations = newGenerations;
        stateChanges = new ArrayList<>();
    }

    private Map<String, byte[]> readMachineSnapshots(BinaryCodec.Reader in) {
        Map<String, byte[]> snapshots = new TreeMap<>();
        for (int remaining = in.count(MIN_MACHINE_BYTES); remaining > 0; remaining--) {
            String name = in.text(ReplicatedEntry.MAX_NAME_BYTES);
            machine(name);
            snapshots.put(name, in.blob(MAX_MACHINE_SNAPSHOT_BYTES));
        }
        return snapshots;
    }
}
