// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.ClusterException;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.MemberSession;
import calicostream.cluster.PeerTransport;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.StateMachine;
import calicostream.cluster.StatePublisher;
import calicostream.cluster.raft.DurableRaftStore;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterNode;
import calicostream.durable.DurableException;
import calicostream.durable.DurableLog;
import calicostream.durable.LogIdentity;
import calicostream.durable.LogOptions;
import calicostream.durable.StateLossDetector;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** One simulated process: its disks, its session as a member, and its voter if it runs one. */
final class SimulatedMember implements PeerTransport.Receiver {
    static final int MAX_QUEUED_PROPOSALS = 16;
    static final int MAX_QUEUED_COMMANDS = 4;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int SESSION_TTL_MILLIS = 1500;
    private static final int RETRY_MILLIS = 150;
    private static final int TICK_MILLIS = 25;
    private static final int HANDSHAKE_PATIENCE_HEARTBEATS = 8;
    private static final int RESTART_DELAY_MILLIS = 30;
    private static final int DISK_CALLS_BETWEEN_CRASHES = 5;

    private final ClusterSimulation cluster;
    private final SimulatedWorld world;
    private final SimulatedWorld.SimulatedProcess process;
    private int generation;
    private SimulatedDisk logDisk;
    private SimulatedDisk markerDisk;
    private boolean runsVoter;
    private VoterNode voter;
    private AppendOnlyLists lists;
    private StatePublisher publisher;
    private MemberSession session;
    private boolean isDown;
    private int sessionsStarted;
    private boolean hasSilentDiskFault;
    private int crashesLeftWhileOpening;

    SimulatedMember(ClusterSimulation cluster, int number) {
        this.cluster = cluster;
        this.world = cluster.world();
        this.process = world.new SimulatedProcess(number);
        replaceDisks();
    }

    void replaceDisks() {
        logDisk = new SimulatedDisk("disk of " + name());
        markerDisk = new SimulatedDisk("marks of " + name());
        boolean ignoresSyncs = cluster.isDisabled(Safeguard.DISK_SYNC);
        logDisk.ignoresSyncs = ignoresSyncs;
        markerDisk.ignoresSyncs = ignoresSyncs;
    }

    Voter name() {
        return new Voter(number(), generation);
    }

    int number() {
        return process.member;
    }

    SimulatedWorld.SimulatedProcess process() {
        return process;
    }

    SimulatedDisk logDisk() {
        return logDisk;
    }

    SimulatedDisk markerDisk() {
        return markerDisk;
    }

    /** The running voter; null without one. */
    VoterNode voter() {
        return voter;
    }

    /** The state machine of the running voter. */
    AppendOnlyLists lists() {
        return lists;
    }

    /** The session of the running process; null if it is down. */
    MemberSession session() {
        return session;
    }

    boolean isDown() {
        return isDown;
    }

    boolean runsVoter() {
        return runsVoter;
    }

    void enableVoter() {
        runsVoter = true;
    }

    void setGeneration(int newGeneration) {
        generation = newGeneration;
    }

    int generation() {
        return generation;
    }

    int sessionsStarted() {
        return sessionsStarted;
    }

    /** Whether its disks lost or changed data silently since they were last opened. */
    boolean hasSilentDiskFault() {
        return hasSilentDiskFault;
    }

    void setSilentDiskFault(boolean value) {
        hasSilentDiskFault = value;
    }

    /** Further crashes while the voter opens its disks again. */
    void setCrashesWhileOpening(int crashes) {
        crashesLeftWhileOpening = crashes;
    }

    boolean isLeader() {
        return voter != null && voter.isLeader();
    }

    void start() {
        isDown = false;
        if (runsVoter) {
            startVoter();
        }
        startSession();
    }

    void startVoter() {
        lists =
                new AppendOnlyLists(
                        (index, call) -> cluster.invariants().applied(number(), index, call),
                        cluster.counters()::snapshotRestored);
        DurableLog log;
        try {
            log = openLog();
        } catch (DurableException e) {
            voterFailed(e);
            return;
        }
        if (log.recoveredState().localState().stateLoss() != StateLossDetector.StateLoss.NONE
                && !hasSilentDiskFault
                && cluster.hasAllSafeguards()) {
            throw new InvariantViolation(
                    name() + " doubts a disk without faults: " + log.recoveredState().localState());
        }
        DurableRaftStore store = new DurableRaftStore(log);
        voter = newVoter(store);
        publisher = new StatePublisher(voter.state(), number());
        if (cluster.isDisabled(Safeguard.VOTER_RECOVERY_HANDSHAKE)
                || cluster.isDisabled(Safeguard.DISK_SYNC)) {
            voter.start();
        } else {
            voter.start(
                    store.recoveryHandshake(
                            name(),
                            cluster.initialVoters(),
                            world.random.nextLong(),
                            HANDSHAKE_PATIENCE_HEARTBEATS));
        }
    }

    private DurableLog openLog() throws DurableException {
        return DurableLog.open(
                logDisk,
                markerDisk,
                new LogIdentity("sim", name().toString()),
                new LogOptions(1 << 14, 1_000_000_000L, false, process::nanoTime));
    }

    private VoterNode newVoter(DurableRaftStore store) {
        Map<String, StateMachine> machines = new TreeMap<>(Map.of(ClusterWorkload.MACHINE, lists));
        Map<String, ExpiryMonitor> expiryMonitors = new TreeMap<>();
        cluster.extension()
                .parts(number())
                .forEach(
                        (name, part) -> {
                            machines.put(name, part.machine());
                            expiryMonitors.put(name, part.expiryMonitor());
                        });
        return new VoterNode(
                new VoterNode.Settings(
                        name(), cluster.initialVoters(), 50, 5, 200, MAX_QUEUED_PROPOSALS, 40),
                new VoterNode.Environment(
                        process,
                        (to, frame) -> cluster.network().send(number(), to, frame),
                        new Random(world.random.nextLong()),
                        this::voterFailed),
                store.storage(),
                new ReplicatedState(machines),
                expiryMonitors);
    }

    private void voterFailed(Throwable cause) {
        if (logDisk.isCrashed || markerDisk.isCrashed) {
            world.schedule(world.now(), this::crashWhileOpening);
        } else if (hasSilentDiskFault
                && (cause instanceof ClusterException.VoterStateLost
                        || cause instanceof DurableException)) {
            cluster.counters().diskFaultDetected();
            world.schedule(world.now(), () -> cluster.voterChanges().replaceLostVoter(this));
        } else if (!logDisk.isFailing) {
            cluster.invariants().report("voter " + name() + " stopped by itself: " + cause);
        }
    }

    private void crashWhileOpening() {
        if (isDown) {
            return;
        }
        crash();
        if (crashesLeftWhileOpening > 0) {
            logDisk.callsUntilCrash = crashesLeftWhileOpening * DISK_CALLS_BETWEEN_CRASHES;
            crashesLeftWhileOpening--;
        } else {
            logDisk.callsUntilCrash = 0;
        }
        restartAfter(RESTART_DELAY_MILLIS);
    }

    private void startSession() {
        sessionsStarted++;
        long firstNonce = ((long) number() << 40) + ((long) sessionsStarted << 32);
        session =
                new MemberSession(
                        new MemberSession.Settings(
                                number(), SESSION_TTL_MILLIS, RETRY_MILLIS, MAX_QUEUED_COMMANDS),
                        cluster.voterNumbers(),
                        firstNonce);
        cluster.extension().memberStarted(number(), process, session);
        tick();
        generateLoad();
    }

    private void tick() {
        cluster.extension().tick(number());
        for (MemberSession.OutgoingFrame frame : session.tick(process.nanoTime())) {
            cluster.network().send(number(), frame.voter(), frame.frame());
        }
        process.schedule(this::tick, TICK_MILLIS * NANOS_PER_MILLI);
    }

    private void generateLoad() {
        if (cluster.workload().isRunning()) {
            cluster.workload().startOperation(this);
            process.schedule(
                    this::generateLoad, (20 + world.random.nextInt(200)) * NANOS_PER_MILLI);
        }
    }

    /** Ends the process at once; its disks lose what was not synced. */
    void crash() {
        isDown = true;
        process.incarnation++;
        process.pausedUntil = 0;
        // Data that such a disk loses now may be detected, whatever caused the crash.
        hasSilentDiskFault |= logDisk.ignoresSyncs && cluster.hasAllSafeguards();
        if (runsVoter) {
            logDisk.crash(world.random);
            markerDisk.crash(world.random);
            voter = null;
        }
        session = null;
        cluster.extension().memberCrashed(number());
    }

    void restartAfter(long delayMillis) {
        world.schedule(
                world.now() + delayMillis * NANOS_PER_MILLI,
                () -> {
                    if (isDown) {
                        start();
                    }
                });
    }

    /** Sends what a leader publishes of the changes of its state. */
    void publish(List<ReplicatedState.StateChange> changes) {
        publisher
                .publish(changes, voter.isLeader(), process.nanoTime())
                .forEach(out -> cluster.network().send(number(), out.member(), out.frame()));
    }

    @Override
    public void onFrame(int from, byte[] frame) {
        MemberMessage message = MemberMessage.decode(frame);
        world.trace("received " + number(), frame);
        if (message instanceof MemberMessage.Reply reply && session != null) {
            session.received(from, reply, process.nanoTime());
        } else if (message instanceof MemberMessage.Notification notification && session != null) {
            cluster.extension()
                    .stateChanged(
                            number(),
                            new ReplicatedState.StateChange(
                                    notification.machine(),
                                    notification.index(),
                                    notification.event()));
        }
        if (voter != null) {
            boolean renumbers =
                    cluster.isDisabled(Safeguard.COMMAND_SEQUENCE_NUMBERS) && voter.isLeader();
            voter.onFrame(from, renumbers ? renumber(frame) : frame);
        }
    }

    /** Without the safeguard each attempt of a command has a sequence number of its own. */
    private byte[] renumber(byte[] frame) {
        if (MemberMessage.decode(frame) instanceof MemberMessage.Request request
                && request.operation() == MemberMessage.Operation.PROPOSE
                && ReplicatedEntry.decode(request.body())
                        instanceof ReplicatedEntry.RunCommand run) {
            long sequence = cluster.nextAttemptNumber(run.session());
            ReplicatedEntry renumbered =
                    new ReplicatedEntry.RunCommand(
                            run.session(), sequence, sequence - 1, run.machine(), run.body());
            return new MemberMessage.Request(
                            request.id(), request.operation(), "", renumbered.encode())
                    .encode();
        }
        return frame;
    }
}
