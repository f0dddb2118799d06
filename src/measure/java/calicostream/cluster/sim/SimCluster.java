// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.BinaryCodec;
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
import calicostream.cluster.raft.VoterChange;
import calicostream.cluster.raft.VoterNode;
import calicostream.durable.DurableException;
import calicostream.durable.DurableLog;
import calicostream.durable.LogIdentity;
import calicostream.durable.LogOptions;
import calicostream.durable.StateLossDetector;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A whole cluster in one process: voters, spare processes, members, links, disks and clocks, from
 * one seed.
 */
final class SimCluster {
    private static final long MILLI = 1_000_000L;
    private static final int QUEUE = 16;
    private static final int MEMBER_QUEUE = 4;
    private static final int TTL = 1500;
    private static final int PATIENCE = 8;

    /**
     * For so long nothing else goes wrong after a lie: two lies at once, or a lie and a dead peer,
     * may pass unnoticed.
     */
    private static final int QUIET_MILLIS = 800;

    static final int FAULT_MILLIS = 6_000;

    /** Safeguards that can be taken out, to show that the checks find it. */
    enum Mutant {
        RETRY_WITHOUT_NUMBER,
        VOTE_AFTER_AMNESIA,
        SYNC_LIES,
        LATE_COUNT
    }

    /** What a run came to; {@code fault} is empty if every check held. */
    record Result(
            long seed,
            String fault,
            long hash,
            long steps,
            long acknowledged,
            int eras,
            Map<Faults.Kind, Integer> faults,
            int changes,
            int refused,
            int noticed,
            int expired,
            int restored) {}

    private static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Broken(String what) {
            super(what);
        }
    }

    private final class Host implements PeerTransport.Receiver {
        final World.Process process;
        int generation;
        SimDisk disk;
        SimDisk marks;
        VoterNode voter;
        Lists lists;
        boolean runsVoter;
        boolean down;
        MemberSession member;
        StatePublisher newsroom;
        int lives;

        /** Its disks were lied to since it last opened them. */
        boolean lied;

        /** Further crashes on the way of its opening. */
        int crashesLeft;

        Host(int id) {
            process = world.new Process(id);
            newDisks();
        }

        void newDisks() {
            disk = new SimDisk("disk of " + name());
            marks = new SimDisk("marks of " + name());
            disk.lies = marks.lies = mutants.contains(Mutant.SYNC_LIES);
        }

        Voter name() {
            return new Voter(process.member, generation);
        }

        void startVoter() {
            lists =
                    new Lists(
                            (index, what) -> applied(process.member, index, what),
                            () -> restored++);
            DurableLog log;
            try {
                log =
                        DurableLog.open(
                                disk,
                                marks,
                                new LogIdentity("sim", name().toString()),
                                new LogOptions(1 << 14, 1_000_000_000L, false, process::nanoTime));
            } catch (DurableException e) {
                failed(e);
                return;
            }
            if (log.recoveredState().localState().stateLoss() != StateLossDetector.StateLoss.NONE
                    && !lied
                    && mutants.isEmpty()) {
                throw new Broken(
                        name() + " doubts an honest disk: " + log.recoveredState().localState());
            }
            DurableRaftStore store = new DurableRaftStore(log);
            Map<String, StateMachine> machines = new TreeMap<>(Map.of("lists", lists));
            Map<String, ExpiryMonitor> timekeepers = new TreeMap<>();
            guest.parts(process.member)
                    .forEach(
                            (name, part) -> {
                                machines.put(name, part.machine());
                                timekeepers.put(name, part.timekeeper());
                            });
            Optional<RestoredRaftState> restored =
                    DurableRaftStore.restoredState(log.recoveredState());
            voter =
                    new VoterNode(
                            new VoterNode.Settings(name(), first, 50, 5, 200, QUEUE, 40),
                            process,
                            (to, frame) -> send(process.member, to, frame),
                            store,
                            restored,
                            new ReplicatedState(machines),
                            timekeepers,
                            new Random(world.random.nextLong()),
                            this::failed);
            newsroom = new StatePublisher(voter.state(), process.member);
            if (mutants.contains(Mutant.VOTE_AFTER_AMNESIA) || mutants.contains(Mutant.SYNC_LIES)) {
                voter.start();
            } else {
                voter.start(
                        store.recoveryHandshake(name(), first, world.random.nextLong(), PATIENCE));
            }
        }

        void failed(Throwable why) {
            if (disk.crashed || marks.crashed) {
                world.at(
                        world.now(),
                        () -> {
                            if (!down) {
                                crash();
                                disk.crashIn = crashesLeft > 0 ? crashesLeft-- * 5 : 0;
                                restart(this, 30);
                            }
                        });
            } else if (lied
                    && (why instanceof ClusterException.VoterStateLost
                            || why instanceof DurableException)) {
                noticed++;
                world.at(world.now(), () -> rebirth(this));
            } else if (!disk.fails && broken == null) {
                broken = new Broken("voter " + name() + " stopped by itself: " + why);
            }
        }

        void startMember() {
            long mark = ((long) process.member << 40) + ((long) ++lives << 32);
            member =
                    new MemberSession(
                            new MemberSession.Settings(process.member, TTL, 150, MEMBER_QUEUE),
                            voterIds,
                            mark);
            guest.memberStarts(process.member, process, member);
            tick();
            load();
        }

        void tick() {
            guest.tick(process.member);
            for (MemberSession.OutgoingFrame send : member.tick(process.nanoTime())) {
                send(process.member, send.voter(), send.frame());
            }
            process.schedule(this::tick, 25 * MILLI);
        }

        void load() {
            if (loading) {
                operate(this);
                process.schedule(this::load, (20 + world.random.nextInt(200)) * MILLI);
            }
        }

        void crash() {
            down = true;
            process.life++;
            process.stoppedUntil = 0;
            // What a lying disk then loses may be noticed whatever made it lose it.
            lied |= disk.lies && mutants.isEmpty();
            if (runsVoter) {
                disk.crash(world.random);
                marks.crash(world.random);
                voter = null;
            }
            member = null;
            guest.memberDies(process.member);
        }

        void start() {
            down = false;
            if (runsVoter) {
                startVoter();
            }
            startMember();
        }

        @Override
        public void onFrame(int from, byte[] bytes) {
            MemberMessage frame = MemberMessage.decode(bytes);
            world.trace("received " + process.member, bytes);
            if (frame instanceof MemberMessage.Reply reply && member != null) {
                member.received(from, reply, process.nanoTime());
            } else if (frame instanceof MemberMessage.Notification news && member != null) {
                guest.news(
                        process.member,
                        new ReplicatedState.StateChange(
                                news.machine(), news.index(), news.event()));
            }
            if (voter != null) {
                voter.onFrame(
                        from,
                        mutants.contains(Mutant.RETRY_WITHOUT_NUMBER) && voter.isLeader()
                                ? renumber(bytes)
                                : bytes);
            }
        }
    }

    private final long seed;
    private final Set<Mutant> mutants;
    private final Guest guest;
    private final World world;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Voter> first = new ArrayList<>();
    private final List<Integer> voterIds = new ArrayList<>();
    private final Judge judge = new Judge();
    private final Map<Integer, Voter> leaders = new HashMap<>();
    private final Map<Long, String> log = new HashMap<>();
    private final Set<Long> expired = new HashSet<>();
    private final Map<Faults.Kind, Integer> done = new EnumMap<>(Faults.Kind.class);
    private final boolean[][] cut = new boolean[16][16];
    private final Map<Long, Long> renumbered = new HashMap<>();
    private double loss;
    private double doubling;
    private double delays;
    private int slowest = 3;
    private boolean loading = true;
    private long values;
    private long acknowledged;
    private int changes;
    private int restored;
    private int refused;
    private int noticed;
    private long quietUntil;
    private Broken broken;

    SimCluster(long seed, Set<Mutant> mutants, Guest guest) {
        this.seed = seed;
        this.mutants = mutants;
        this.guest = guest;
        this.world = new World(seed);
        int voters = world.random.nextInt(3) == 0 ? 5 : 3;
        int processes = voters + 4;
        for (int id = 1; id <= processes; id++) {
            Host host = new Host(id);
            hosts.add(host);
            if (id <= voters) {
                first.add(host.name());
                host.runsVoter = true;
            }
            if (id <= voters + 2) {
                voterIds.add(id);
            }
        }
    }

    static Result run(long seed, Set<Mutant> mutants) {
        return run(seed, mutants, Faults.draw(seed, FAULT_MILLIS));
    }

    static Result run(long seed, Set<Mutant> mutants, List<Faults.Fault> faults) {
        return run(seed, mutants, faults, Guest.NONE);
    }

    /**
     * With a guest, whose plan of faults may be its own; a run without one is not changed by this.
     */
    static Result run(long seed, Set<Mutant> mutants, List<Faults.Fault> faults, Guest guest) {
        return new SimCluster(seed, mutants, guest).run(faults);
    }

    /** The plan without the faults that the failure does not need. */
    static List<Faults.Fault> thin(long seed, Set<Mutant> mutants, List<Faults.Fault> faults) {
        List<Faults.Fault> needed = new ArrayList<>(faults);
        for (int part = Math.max(1, needed.size() / 2); part >= 1; part /= 2) {
            for (int at = 0; at < needed.size(); ) {
                List<Faults.Fault> fewer = new ArrayList<>(needed);
                fewer.subList(at, Math.min(needed.size(), at + part)).clear();
                if (run(seed, mutants, fewer).fault.isEmpty()) {
                    at += part;
                } else {
                    needed = fewer;
                }
            }
        }
        return needed;
    }

    private Result run(List<Faults.Fault> faults) {
        String fault = "";
        try {
            guest.enters(new Powers());
            hosts.forEach(Host::start);
            for (Faults.Fault f : faults) {
                world.at(f.atMillis() * MILLI, () -> cause(f));
            }
            world.run(6_500 * MILLI, this::check);
            heal();
            world.run(8_000 * MILLI, this::check);
            loading = false;
            guest.settles();
            for (long until = 9_000; until <= 20_000 && !settled(); until += 500) {
                world.run(until * MILLI, this::check);
            }
            end();
        } catch (Broken
                | IllegalArgumentException
                | IllegalStateException
                | ClusterException
                | AssertionError e) {
            fault = "at " + world.now() / MILLI + " ms: " + e;
            if (System.getProperty("sim.stack") != null) {
                e.printStackTrace();
                hosts.forEach(host -> System.out.println(host.name() + " " + host.voter));
            }
        }
        return new Result(
                seed,
                fault,
                world.hash(),
                world.steps,
                acknowledged,
                leaders.size(),
                done,
                changes,
                refused,
                noticed,
                expired.size(),
                restored);
    }

    private Host host(int member) {
        return hosts.get(member - 1);
    }

    private void send(int from, int to, byte[] frame) {
        if (to < 1 || to > hosts.size()) {
            return;
        }
        int copies =
                from == to
                        ? 1
                        : cut[from][to] || world.random.nextDouble() < loss
                                ? 0
                                : world.random.nextDouble() < doubling ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = from == to ? 1000 : 100_000 + world.random.nextInt(slowest * 1_000_000);
            if (from != to && world.random.nextDouble() < delays) {
                delay += world.random.nextInt(1000) * MILLI;
            }
            Host target = host(to);
            world.at(
                    world.now() + delay,
                    () -> target.process.execute(() -> target.onFrame(from, frame)));
        }
    }

    /** The mutant: each attempt of a command that gets to a leader has a number of its own. */
    private byte[] renumber(byte[] frame) {
        if (MemberMessage.decode(frame) instanceof MemberMessage.Request request
                && request.operation() == MemberMessage.Operation.PROPOSE
                && ReplicatedEntry.decode(request.body())
                        instanceof ReplicatedEntry.RunCommand run) {
            long number = renumbered.merge(run.session(), 1L, Long::sum);
            return new MemberMessage.Request(
                            request.id(),
                            request.operation(),
                            "",
                            new ReplicatedEntry.RunCommand(
                                            run.session(),
                                            number,
                                            number - 1,
                                            run.machine(),
                                            run.body())
                                    .encode())
                    .encode();
        }
        return frame;
    }

    private void operate(Host host) {
        int key = world.random.nextInt(Lists.KEYS);
        int what = world.random.nextInt(10);
        Judge.Op op = new Judge.Op(key, what < 5 ? ++values : 0, what < 5, world.now());
        judge.ops.add(op);
        if (op.append) {
            host.member.submit(
                    "lists",
                    Lists.append(key, op.value),
                    outcome -> {
                        op.ended = world.now();
                        if (outcome.isAccepted()) {
                            op.end = Judge.End.OK;
                            op.length = new BinaryCodec.Reader("length", outcome.response()).i32();
                            acknowledged++;
                        } else {
                            op.end =
                                    outcome.code().equals(ClusterException.OutcomeUnknown.CODE)
                                            ? Judge.End.UNKNOWN
                                            : Judge.End.NEVER;
                        }
                    });
            return;
        }
        MemberMessage.Operation ask =
                what < 8 ? MemberMessage.Operation.READ : MemberMessage.Operation.LOCAL_READ;
        host.member.read(
                ask,
                "lists",
                Lists.which(key),
                host.process.nanoTime(),
                reply -> {
                    op.ended = world.now();
                    if (reply.outcome().isAccepted()) {
                        op.end = Judge.End.OK;
                        op.seen = Lists.list(reply.outcome().response());
                        op.length = op.seen.size();
                        // The age was counted by clocks that drift.
                        op.age =
                                ask == MemberMessage.Operation.LOCAL_READ
                                        ? reply.ageNanos() + reply.ageNanos() / 500 + 1
                                        : -1;
                    }
                });
    }

    /** The same call at the same index at every copy. */
    private void applied(int member, long index, String what) {
        String before = log.putIfAbsent(index, what);
        if (before != null && !before.equals(what)) {
            // Not thrown here: the library and the voter catch what comes out of a machine.
            broken =
                    new Broken(
                            "member "
                                    + member
                                    + " applied "
                                    + what
                                    + " at "
                                    + index
                                    + ", another "
                                    + before);
        }
        world.trace(what, member, index);
    }

    private void check(World.Process process) {
        if (broken != null) {
            throw broken;
        }
        hold(guest.fault());
        Host host = host(process.member);
        if (host.member != null && host.member.pendingCommands() > MEMBER_QUEUE + 1) {
            throw new Broken("a member's queue grew to " + host.member.pendingCommands());
        }
        VoterNode voter = host.voter;
        if (voter == null) {
            return;
        }
        if (voter.pendingProposals() > QUEUE) {
            throw new Broken("a voter's queue grew to " + voter.pendingProposals());
        }
        if (voter.leader() == process.member && !voter.isStopped()) {
            Voter other = leaders.putIfAbsent(voter.term(), host.name());
            if (other != null && !other.equals(host.name())) {
                throw new Broken(
                        "term " + voter.term() + " is led by " + other + " and " + host.name());
            }
        }
        List<ReplicatedState.StateChange> taken = voter.state().drainStateChanges();
        if (guest.isTold()) {
            host.newsroom
                    .publish(taken, voter.isLeader(), process.nanoTime())
                    .forEach(each -> send(process.member, each.member(), each.frame()));
        }
        for (ReplicatedState.StateChange news : taken) {
            guest.news(process.member, news);
            if (news.event().kind().equals("session-expired")) {
                long session = new BinaryCodec.Reader("session", news.event().body()).i64();
                if (expired.add(session)) {
                    expired(session);
                }
            }
        }
    }

    private static void hold(String fault) {
        if (!fault.isEmpty()) {
            throw new Broken(fault);
        }
    }

    /** What a guest may do. */
    private final class Powers implements Guest.Powers {
        @Override
        public long now() {
            return world.now();
        }

        @Override
        public Random random() {
            return world.random;
        }

        @Override
        public int members() {
            return hosts.size();
        }

        @Override
        public void at(long time, Runnable task) {
            world.at(time, task);
        }

        @Override
        public boolean isUp(int member) {
            return !host(member).down;
        }

        @Override
        public boolean kill(int member, int afterMillis) {
            boolean may = !host(member).down && isLoud();
            if (may) {
                host(member).crash();
                restart(host(member), afterMillis);
            }
            return may;
        }

        /** Nothing else goes wrong beside a disk's lie. */
        private boolean isLoud() {
            return world.now() >= quietUntil && hosts.stream().noneMatch(each -> each.disk.lies);
        }

        @Override
        public void stall(int member, int millis) {
            if (isLoud()) {
                host(member).process.stoppedUntil = world.now() + millis * MILLI;
            }
        }
    }

    private void expired(long session) {
        for (Host host : hosts) {
            boolean alive =
                    host.member != null
                            && host.member.sessionId() == session
                            && host.member.isAlive(
                                    host.process.nanoTime()
                                            - (mutants.contains(Mutant.LATE_COUNT)
                                                    ? 200 * MILLI
                                                    : 0));
            if (alive) {
                throw new Broken(
                        "session "
                                + session
                                + " expired while member "
                                + host.process.member
                                + " relied on it");
            }
        }
    }

    private void restart(Host host, long afterMillis) {
        world.at(
                world.now() + afterMillis * MILLI,
                () -> {
                    if (host.down) {
                        host.start();
                    }
                });
    }

    private void cause(Faults.Fault fault) {
        if (world.now() < quietUntil) {
            return;
        }
        if (!Faults.LIES.contains(fault.kind())) {
            done.merge(fault.kind(), 1, Integer::sum);
        }
        world.trace(fault.toString());
        Host a = hosts.get(fault.a() % hosts.size());
        Host b = hosts.get(fault.b() % hosts.size());
        Host voter = hosts.get(fault.a() % voterIds.size());
        long until = world.now() + fault.lasts() * MILLI;
        int from = a.process.member;
        int to = b.process.member;
        switch (fault.kind()) {
            case CUT_ONE_WAY -> {
                cut[from][to] = true;
                world.at(until, () -> cut[from][to] = false);
            }
            case CUT_BOTH -> {
                cut[from][to] = cut[to][from] = true;
                world.at(until, () -> cut[from][to] = cut[to][from] = false);
            }
            case ISOLATE -> {
                isolate(from, true);
                world.at(until, () -> isolate(from, false));
            }
            case LOSS -> {
                loss = 0.05 + fault.b() % 40 / 100.0;
                world.at(until, () -> loss = 0);
            }
            case DOUBLING -> {
                doubling = 0.3;
                world.at(until, () -> doubling = 0);
            }
            case DELAY -> {
                delays = 0.2;
                world.at(until, () -> delays = 0);
            }
            case REORDER -> {
                slowest = 60;
                world.at(until, () -> slowest = 3);
            }
            case STALL -> a.process.stoppedUntil = world.now() + fault.lasts() % 300 * MILLI;
            case LONG_STALL -> a.process.stoppedUntil = until + 2000 * MILLI;
            case CRASH -> {
                if (!voter.down) {
                    voter.crash();
                    restart(voter, fault.lasts());
                }
            }
            case STOP -> {
                if (!voter.down) {
                    if (voter.voter != null) {
                        voter.voter.stop();
                    }
                    voter.crash();
                    restart(voter, fault.lasts() % 500);
                }
            }
            case CRASH_ALL_VOTERS -> {
                for (Host host : hosts) {
                    if (host.runsVoter && !host.down) {
                        host.crash();
                        restart(host, fault.lasts() / 2 + host.process.member * 20L);
                    }
                }
            }
            case DISK_FAILS -> {
                if (voter.runsVoter && !voter.down) {
                    voter.disk.fails = true;
                    world.at(
                            until,
                            () -> {
                                if (!voter.down) {
                                    voter.crash();
                                    restart(voter, 50);
                                }
                            });
                }
            }
            case DRIFT -> a.process.drift(fault.b() % 1001 - 500);
            case HAND_OVER ->
                    leading()
                            .ifPresent(
                                    host -> {
                                        if (!host.name().equals(voter.name())) {
                                            host.voter.transferLeadership(voter.name());
                                        }
                                    });
            case ADD_VOTER -> addVoter(voter);
            case REMOVE_VOTER ->
                    leading()
                            .ifPresent(
                                    host -> {
                                        if (host.voter.voters().size() > 3
                                                && host.voter.voters().contains(voter.name())) {
                                            change(
                                                    host,
                                                    VoterChange.REMOVE,
                                                    voter.name(),
                                                    () -> {});
                                        }
                                    });
            case AMNESIA -> {
                if (mutants.contains(Mutant.VOTE_AFTER_AMNESIA)) {
                    if (voter.runsVoter && !voter.down) {
                        voter.crash();
                        voter.newDisks();
                        restart(voter, 5);
                    }
                } else {
                    lie(
                            voter,
                            fault.kind(),
                            () -> {
                                voter.disk.restore(new SimDisk(""));
                                voter.marks.restore(new SimDisk(""));
                            });
                }
            }
            case LOG_EMPTY -> lie(voter, fault.kind(), () -> voter.disk.restore(new SimDisk("")));
            case MARKS_EMPTY ->
                    lie(voter, fault.kind(), () -> voter.marks.restore(new SimDisk("")));
            case FOREIGN ->
                    lie(
                            voter,
                            fault.kind(),
                            () -> voter.disk.restore(leading().orElseThrow().disk));
            case ROT -> lie(voter, fault.kind(), () -> voter.disk.rot(world.random));
            case BOTH_OLDER, LOG_OLDER, MARKS_OLDER -> older(fault, voter, until + 500 * MILLI);
            case LOST_SYNC -> {
                if (maySpare(voter)) {
                    voter.disk.lies = true;
                    world.at(world.now() + 200 * MILLI, () -> lie(voter, fault.kind(), () -> {}));
                    world.at(world.now() + 201 * MILLI, () -> voter.disk.lies = voter.marks.lies);
                }
            }
            case CRASH_IN_CALL -> {
                if (voter.runsVoter && !voter.down) {
                    (fault.b() % 3 == 0 ? voter.marks : voter.disk).crashIn = 1 + fault.b() % 40;
                    voter.crashesLeft = fault.b() % 4;
                }
            }
            case CLOCK_STEP -> a.process.step(fault.lasts() * MILLI);
            case MEMBER_CRASH -> {
                Host member = hosts.get(hosts.size() - 1 - fault.a() % 2);
                if (!member.down) {
                    member.crash();
                    restart(member, fault.lasts());
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void isolate(int member, boolean isolated) {
        for (int other = 1; other <= hosts.size(); other++) {
            cut[member][other] = cut[other][member] = isolated;
        }
    }

    private Optional<Host> leading() {
        return hosts.stream()
                .filter(host -> host.voter != null && host.voter.isLeader())
                .findFirst();
    }

    private void change(Host leader, VoterChange change, Voter who, Runnable then) {
        leader.voter.changeVoter(
                change,
                who,
                error -> {
                    if (error == null) {
                        changes++;
                        then.run();
                    }
                });
    }

    /** A process that is no voter yet becomes a learner, then a voter. */
    private void addVoter(Host host) {
        leading()
                .ifPresent(
                        leader -> {
                            if (host.down
                                    || leader.voter.voters().size() >= 5
                                    || leader.voter.voters().contains(host.name())) {
                                return;
                            }
                            if (!leader.voter
                                    .state()
                                    .mayAddVoter(host.process.member, host.generation)) {
                                comeBack(leader, host);
                                return;
                            }
                            if (!host.runsVoter) {
                                host.runsVoter = true;
                                host.startVoter();
                            }
                            learn(leader, host);
                        });
    }

    private void learn(Host leader, Host host) {
        Runnable promote = () -> promote(host.name(), 12);
        if (leader.voter.votersAndLearners().contains(host.name())) {
            promote.run();
        } else {
            change(leader, VoterChange.ADD_LEARNER, host.name(), promote);
        }
    }

    /**
     * It was removed: the leader refuses its old generation, and it comes back with empty disks
     * under the next.
     */
    private void comeBack(Host leader, Host host) {
        Voter old = host.name();
        leader.voter.changeVoter(
                VoterChange.ADD_LEARNER,
                old,
                error -> {
                    if (error == null) {
                        broken = new Broken(old + " was removed and added again");
                    } else if (error instanceof ClusterException.GenerationRetired
                            && !host.down
                            && host.name().equals(old)) {
                        refused++;
                        host.crash();
                        host.generation = leader.voter.state().nextGeneration(host.process.member);
                        host.newDisks();
                        host.runsVoter = true;
                        host.start();
                        learn(leader, host);
                    }
                });
    }

    /** A learner is promoted once it follows, so this may need some tries. */
    private void promote(Voter who, int times) {
        leading()
                .ifPresent(
                        leader ->
                                leader.voter.changeVoter(
                                        VoterChange.PROMOTE,
                                        who,
                                        error -> {
                                            changes += error == null ? 1 : 0;
                                            if (error != null && times > 0) {
                                                world.at(
                                                        world.now() + 50 * MILLI,
                                                        () -> promote(who, times - 1));
                                            }
                                        }));
    }

    /**
     * Whether this voter may be lost, and whoever remembers it be heard: with no more than a bare
     * majority left for sure, a run would only show that a quorum lost is lost.
     */
    private boolean maySpare(Host host) {
        Optional<Host> leader = leading();
        return leader.isPresent()
                && leader.get() != host
                && host.runsVoter
                && !host.down
                && leader.get().voter.voters().size() >= 3
                && leader.get().voter.voters().contains(host.name())
                && leader.get().voter.voters().stream()
                        .allMatch(name -> host(((Voter) name).member()).name().equals(name))
                && leader.get().voter.voters().stream()
                        .map(name -> host(((Voter) name).member()))
                        .allMatch(
                                each ->
                                        !each.down
                                                && !each.disk.fails
                                                && !each.lied
                                                && each.voter != null
                                                && !each.voter.isStopped()
                                                && (each == host || !each.disk.lies));
    }

    /**
     * The machine goes down, its disks are changed, it comes back; for a while nothing else goes
     * wrong.
     */
    private void lie(Host host, Faults.Kind kind, Runnable change) {
        if (!maySpare(host)) {
            return;
        }
        done.merge(kind, 1, Integer::sum);
        quietUntil = world.now() + QUIET_MILLIS * MILLI;
        calm();
        for (Host each : hosts) {
            each.disk.crashIn = each.marks.crashIn = 0;
        }
        host.crash();
        change.run();
        host.lied = true;
        restart(host, 50);
        world.at(quietUntil, () -> host.lied = false);
    }

    /**
     * A copy is put back later. Peers have to remember what was promised since: either they met a
     * later incarnation, or none of them was started anew.
     */
    private void older(Faults.Fault fault, Host host, long when) {
        if (!maySpare(host)) {
            return;
        }
        SimDisk disk = host.disk.copy();
        SimDisk marks = host.marks.copy();
        Voter name = host.name();
        int[] lives = hosts.stream().mapToInt(each -> each.lives).toArray();
        world.at(
                when,
                () -> {
                    boolean remembered =
                            host.lives > lives[hosts.indexOf(host)]
                                    || hosts.stream()
                                            .allMatch(
                                                    each ->
                                                            each.lives
                                                                    == lives[hosts.indexOf(each)]);
                    if (host.name().equals(name) && remembered) {
                        lie(
                                host,
                                fault.kind(),
                                () -> {
                                    if (fault.kind() != Faults.Kind.MARKS_OLDER) {
                                        host.disk.restore(disk);
                                    }
                                    if (fault.kind() != Faults.Kind.LOG_OLDER) {
                                        host.marks.restore(marks);
                                    }
                                });
                    }
                });
    }

    /**
     * What an operator does with a member that forgot: empty disks, the next generation, a change
     * of voters.
     */
    private void rebirth(Host host) {
        if (!host.down) {
            host.crash();
        }
        host.generation++;
        host.newDisks();
        host.lied = false;
        restart(host, 50);
        world.at(world.now() + 60 * MILLI, () -> replace(host.name(), 20));
    }

    /** Whoever leads takes the next step, a few times; other changes may come between. */
    private void replace(Voter by, int times) {
        leading()
                .ifPresent(
                        leader -> {
                            List<Voter> wanted = new ArrayList<>();
                            leader.voter.voters().forEach(voter -> wanted.add((Voter) voter));
                            // An earlier one of its generations may still be there.
                            if (wanted.removeIf(each -> each.member() == by.member())) {
                                wanted.add(by);
                                leader.voter.stepTowards(
                                        wanted, error -> changes += error == null ? 1 : 0);
                            }
                        });
        if (times > 0) {
            world.at(world.now() + 100 * MILLI, () -> replace(by, times - 1));
        }
    }

    private void calm() {
        for (boolean[] row : cut) {
            Arrays.fill(row, false);
        }
        loss = doubling = delays = 0;
        slowest = 3;
        hosts.forEach(host -> host.process.stoppedUntil = 0);
    }

    private void heal() {
        calm();
        for (Host host : hosts) {
            host.disk.crashIn = host.marks.crashIn = 0;
            if (host.disk.crashed || host.marks.crashed) {
                host.crash();
            }
            if (host.disk.fails && !host.down) {
                host.crash();
            }
            if (host.down) {
                host.start();
            }
        }
    }

    private boolean settled() {
        return leading().isPresent()
                && hosts.stream()
                        .allMatch(
                                host ->
                                        host.member != null
                                                && host.member.pendingCommands() == 0
                                                && host.member.sessionId() != 0);
    }

    private void end() {
        hold(guest.end());
        List<Host> voters = new ArrayList<>();
        Host leader =
                leading()
                        .orElseThrow(
                                () -> new Broken("no leader after " + world.now() / MILLI + " ms"));
        for (Host host : hosts) {
            if (host.voter != null && leader.voter.voters().contains(host.name())) {
                voters.add(host);
            }
            if (host.member == null
                    || host.member.pendingCommands() > 0
                    || host.member.sessionId() == 0) {
                throw new Broken("member " + host.process.member + " still waits: " + host.member);
            }
        }
        for (Host host : voters) {
            if (host.voter.state().appliedIndex() == leader.voter.state().appliedIndex()
                    && !Arrays.equals(
                            host.voter.state().snapshot(), leader.voter.state().snapshot())) {
                throw new Broken("copies at " + host.name() + " and " + leader.name() + " differ");
            }
        }
        for (int key = 0; key < Lists.KEYS; key++) {
            List<String> faults = judge.faults(key, leader.lists.list(key));
            if (!faults.isEmpty()) {
                throw new Broken(faults.size() + " faults of history, first: " + faults.get(0));
            }
        }
    }

    static Set<Mutant> none() {
        return EnumSet.noneOf(Mutant.class);
    }
}
