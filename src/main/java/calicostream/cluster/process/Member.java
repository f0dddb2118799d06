// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.ClusterException;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.MemberSession;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.StateMachine;
import calicostream.cluster.StatePublisher;
import calicostream.cluster.config.ClusterConfig;
import calicostream.cluster.raft.DurableRaftStore;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterNode;
import calicostream.cluster.raft.VoterRecoveryHandshake;
import calicostream.cluster.tcp.SelectorEventLoop;
import calicostream.cluster.tcp.TcpTransport;
import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.durable.DurableException;
import calicostream.durable.DurableLog;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A member of the cluster on a thread of its own, which owns all its state. {@link #start} opens
 * the folder and the address and throws what must end the program; nothing that fails later does:
 * the member says so in its signs, and the process around it goes on. {@link #signs}, {@link
 * #tell}, {@link #stop} and {@link #awaitEnd} may be called by any thread, the first three never
 * wait.
 */
public final class Member {
    private static final Logger LOG = LoggerFactory.getLogger(Member.class);
    private static final long MILLI = 1_000_000L;
    private static final long GRACE = 1_500 * MILLI; // of a planned stop
    private static final long LAST_WORDS =
            50 * MILLI; // for what was sent last to leave the process
    private static final long SIGNS = 100 * MILLI; // between two looks at what operators are told
    private static final long WISH_STEP = 200 * MILLI;
    private static final long WISH_LONGEST = 60_000 * MILLI;
    private final ClusterConfig config;
    private final Voter self;
    private final List<ReplicatedService> layers;
    private final Map<String, ReplicatedService> layersByName = new TreeMap<>();
    private final SelectorLoop loop;
    private final SelectorEventLoop reactor;
    private final DurableLog log;
    private final TcpTransport links;
    private final ReplicatedState state;
    private final StatePublisher newsroom;
    private final List<Voter> first;
    private final DurableRaftStore store;
    private final StartupRole start;
    private final VoterNode voter; // null where the start is barred
    private final MemberSession session;
    private final VoterDirectory known;
    private final QuorumMonitor quorum;
    private final Map<Integer, Long> heardAt = new HashMap<>();
    private final long tickNanos;
    private final Thread thread;
    private int heardLeader; // whose answer came last that only a leader gives; 0 if nobody's
    private String failure = "";
    private String barred; // why; empty if it is not
    private long sessionSeen;
    private long sessionSince;
    private long signsAt;
    private MembershipCommandRunner wish;
    private PlannedStop stop;
    private boolean closed; // the session, for good: it would open another one
    private volatile MemberStatus statusJson;

    private Member(ClusterConfig config, List<ReplicatedService> layers, DiskProvider disks)
            throws IOException {
        this.config = config;
        this.layers = List.copyOf(layers);
        layers.forEach(layer -> layersByName.put(layer.name(), layer));
        self = new Voter(config.self().number(), config.generation());
        loop = new SelectorLoop(new Clock(), new Deadlines());
        reactor = new SelectorEventLoop(loop);
        quorum = new QuorumMonitor(reactor.nanoTime());
        tickNanos =
                Math.max(
                        5 * MILLI,
                        Math.min(50 * MILLI, config.session().retryDelay().toNanos() / 10));
        SecureRandom random = new SecureRandom();
        log = MemberDirectory.openLog(config, disks);
        boolean open = false;
        try {
            store = new DurableRaftStore(log);
            start =
                    StartupRole.of(
                            config.isInitialVoter(),
                            self,
                            store.lastVoter(),
                            log.recoveredState().localState());
            links =
                    new TcpTransport(
                            loop,
                            config.cluster(),
                            self.member(),
                            config.self().address(),
                            config.peerAddresses(),
                            this::received);
            Map<String, StateMachine> machines = new TreeMap<>();
            Map<String, ExpiryMonitor> timekeepers = new TreeMap<>();
            layersByName.forEach(
                    (name, layer) -> {
                        machines.put(name, layer.stateMachine());
                        layer.expiryMonitor()
                                .ifPresent(timekeeper -> timekeepers.put(name, timekeeper));
                    });
            state = new ReplicatedState(machines);
            newsroom = new StatePublisher(state, self.member());
            first = config.voters().stream().map(each -> new Voter(each.number(), 0)).toList();
            ClusterConfig.RaftConfig raft = config.raft();
            voter =
                    !start.runsVoter()
                            ? null
                            : new VoterNode(
                                    new VoterNode.Settings(
                                            self,
                                            first,
                                            (int) raft.heartbeatPeriod().toMillis(),
                                            raft.missedHeartbeats(),
                                            (int) raft.electionTimeout().toMillis(),
                                            raft.maxQueuedProposals(),
                                            raft.snapshotInterval()),
                                    new VoterNode.Environment(
                                            reactor,
                                            links,
                                            new Random(random.nextLong()),
                                            this::failed),
                                    store.storage(),
                                    state,
                                    timekeepers);
            open = true;
        } finally {
            if (!open) {
                log.close();
            }
        }
        barred = start.runsVoter() ? "" : start.reason();
        known =
                new VoterDirectory(
                        config.voters().stream()
                                .map(ClusterConfig.MemberAddress::number)
                                .filter(each -> start.runsVoter() || each != self.member())
                                .toList());
        session =
                new MemberSession(
                        new MemberSession.Settings(
                                self.member(),
                                (int) config.session().ttl().toMillis(),
                                (int) config.session().retryDelay().toMillis(),
                                config.session().maxQueuedCommands()),
                        known.members(),
                        random.nextLong());
        statusJson = look(reactor.nanoTime());
        thread = new Thread(this::run, "cluster-" + config.self().name());
        thread.setDaemon(true);
    }

    /**
     * Opens all that the member needs and lets it run.
     *
     * @throws MemberException if the folder or the address can't be had, or must not be used
     */
    public static Member start(ClusterConfig config, List<ReplicatedService> layers)
            throws IOException {
        Member member;
        try {
            member = new Member(config, layers, DiskProvider.fromSystemProperty());
        } catch (DurableException e) {
            throw MemberException.of(e);
        } catch (java.net.BindException e) {
            throw new MemberException(
                    "member-address-taken",
                    config.self().address() + ": " + e.getMessage(),
                    "see which process listens there, or give the member another address, at all"
                            + " members");
        }
        member.thread.start();
        return member;
    }

    /**
     * How many descriptors it takes at most: files of both folders, its address, and links each
     * way, also to be replaced.
     */
    public static int maxFileDescriptors(ClusterConfig config) {
        return 24 + 3 * config.peerAddresses().size();
    }

    /** The signs as a JSON object; as of some moments ago. */
    public String statusJson() {
        return MemberStatusJson.of(config, statusJson);
    }

    /** The port of the cluster's address. */
    public int port() {
        return config.self().address().getPort();
    }

    /**
     * Operators' words: null where they are none that a member knows, empty where they were taken,
     * and how they fare is in the signs; else why not.
     */
    public String tell(String words) {
        try {
            MembershipCommand wanted = MembershipCommand.parse(words, statusJson).orElse(null);
            if (wanted == null) {
                return null;
            }
            if (!statusJson.commandProgress().isEmpty()
                    && statusJson.commandProgress().contains(": under way")) {
                throw new ClusterException.InvalidVoterChange(
                        words, "another wish is under way: " + statusJson.commandProgress());
            }
            LOG.info("{}: operators ask for {}", self, words);
            loop.post(
                    () ->
                            wish =
                                    new MembershipCommandRunner(
                                            wanted, reactor.nanoTime(), WISH_STEP, WISH_LONGEST));
            return "";
        } catch (ClusterException e) {
            return e.getMessage() + "; " + e.remedy();
        }
    }

    /** Begins the planned stop; a second call changes nothing. */
    public void stop() {
        loop.post(
                () -> {
                    if (stop == null) {
                        stop = new PlannedStop(reactor.nanoTime(), GRACE, LAST_WORDS);
                        layers.forEach(layer -> guarded(layer, ReplicatedService::onStopping));
                    }
                });
    }

    /** Waits until the planned stop is over, for a bounded time. */
    public void awaitTermination() throws InterruptedException {
        thread.join(2 * GRACE / MILLI);
    }

    private void run() {
        loop.post(
                () -> {
                    log.recoveredState()
                            .findings()
                            .forEach(finding -> LOG.warn("{}: {}", self, finding));
                    tell(null, statusJson);
                    layers.forEach(
                            layer ->
                                    guarded(
                                            layer,
                                            each -> each.onStart(session, reactor::nanoTime)));
                    if (voter != null) {
                        voter.start(
                                store.recoveryHandshake(
                                        self,
                                        first,
                                        new SecureRandom().nextLong(),
                                        2 * config.raft().missedHeartbeats()));
                    }
                    tick();
                });
        try {
            loop.run();
        } catch (IOException | RuntimeException | Error e) {
            LOG.error("{}: its thread ended", self, e);
            failure = e.toString();
        } finally {
            MemberStatus last = statusJson.withState(MemberStatus.State.DOWN, failure);
            tell(statusJson, last);
            statusJson = last;
            log.close();
        }
    }

    private void received(int from, byte[] bytes) {
        MemberMessage frame = MemberMessage.decode(bytes);
        long now = reactor.nanoTime();
        heardAt.put(from, now);
        if (frame instanceof MemberMessage.Reply reply) {
            if (reply.outcome().isAccepted() && reply.ageNanos() == 0) {
                quorum.onQuorumContact(now);
                heardLeader = from;
            } else if (reply.outcome().kind() == CommandOutcome.Kind.FAILED
                    && reply.outcome().error() instanceof ClusterException.NotLeader other
                    && known.addLeader(other.leader())) {
                session.updateVoters(known.members());
            }
            session.received(from, reply, now);
            if (!closed) {
                flush(now);
            }
        } else if (frame instanceof MemberMessage.Notification news) {
            heard(new ReplicatedState.StateChange(news.machine(), news.index(), news.event()));
            if (!closed) {
                flush(now);
            }
        }
        if (voter != null) {
            voter.onFrame(from, bytes);
        }
    }

    private void heard(ReplicatedState.StateChange news) {
        ReplicatedService layer = layersByName.get(news.machine());
        if (layer != null) {
            guarded(layer, each -> each.onEvent(news.index(), news.event()));
        }
    }

    private void flush(long now) {
        session.tick(now).forEach(send -> links.send(send.voter(), send.frame()));
    }

    private void tick() {
        long now = reactor.nanoTime();
        if (stop != null && stopped(now)) {
            return;
        }
        reactor.schedule(this::tick, stop == null ? tickNanos : 5 * MILLI);
        List<ReplicatedState.StateChange> taken = state.drainStateChanges();
        taken.forEach(this::heard);
        newsroom.publish(taken, voter != null && voter.isLeader(), now)
                .forEach(each -> links.send(each.member(), each.frame()));
        if (!closed) {
            layers.forEach(layer -> guarded(layer, ReplicatedService::onTick));
            flush(now);
        }
        if (voter != null) {
            voter.stateAgeNanos().ifPresent(age -> quorum.onQuorumContact(now - age));
            granted(now);
        }
        if (session.sessionId() != sessionSeen) {
            sessionSeen = session.sessionId();
            sessionSince = now;
        }
        if (now - signsAt >= 0) {
            signsAt = now + SIGNS;
            publish(now);
        }
    }

    private void publish(long now) {
        MemberStatus next = look(now);
        tell(statusJson, next);
        statusJson = next;
        if ((next.state() == MemberStatus.State.VOTER || next.state() == MemberStatus.State.LEARNER)
                && next.applied() > 0
                && known.replaceWith(next.voters().stream().map(Voter::member).sorted().toList())) {
            session.updateVoters(known.members());
        }
    }

    private void tell(MemberStatus before, MemberStatus next) {
        for (StatusChangeLogger.Line line : StatusChangeLogger.of(before, next)) {
            if (line.warn()) {
                LOG.warn("cluster {}: {}", config.cluster(), line.text());
            } else {
                LOG.info("cluster {}: {}", config.cluster(), line.text());
            }
        }
    }

    /** Takes the next step of what operators wish. */
    private void granted(long now) {
        if (wish == null
                || !wish.isDue(now, voter.isLeader(), voter.leader(), Membership.of(voter))) {
            return;
        }
        MembershipCommandRunner run = wish;
        if (run.command() instanceof MembershipCommand.ChangeVoters change) {
            voter.stepTowards(
                    change.wantedVoters(),
                    error -> run.onStepCompleted(error == null ? "" : error.getMessage()));
        } else if (run.command() instanceof MembershipCommand.TransferLeadership lead) {
            voter.transferLeadership(lead.target());
        }
    }

    /** Whether the planned stop is over. */
    private boolean stopped(long now) {
        boolean leads = voter != null && voter.isLeader();
        List<Integer> others = new ArrayList<>(known.members());
        others.remove((Integer) self.member());
        others.sort(
                Comparator.comparingLong(
                        (Integer each) -> now - heardAt.getOrDefault(each, now - GRACE)));
        switch (stop.next(now, session.pendingCommands(), leads, others)) {
            case CLOSE_SESSION -> {
                session.close();
                flush(now);
                closed = true;
            }
            case TRANSFER_LEADERSHIP ->
                    Membership.of(voter).voters().stream()
                            .filter(each -> each.member() == stop.transferTarget())
                            .findFirst()
                            .ifPresent(voter::transferLeadership);
            case END -> {
                end();
                return true;
            }
            case WAIT -> {}
        }
        return false;
    }

    private void end() {
        if (voter != null) {
            voter.stop();
        }
        links.close();
        loop.stop();
    }

    /** The voter stopped by itself; the session goes on by the others. */
    private void failed(Throwable why) {
        if (why instanceof ClusterException.VoterStateLost) {
            barred = why.getMessage();
            return;
        }
        boolean named = why instanceof DurableException || why instanceof ClusterException;
        failure =
                named
                        ? why.getMessage()
                        : new ClusterException.VoterStopped(self.member(), why.toString())
                                .getMessage();
        signsAt = reactor.nanoTime();
        if (!named) {
            LOG.error("{}: its voter stopped", self, why);
        }
    }

    private boolean isAsking() {
        return voter != null
                && voter.recoveryHandshake()
                        .map(
                                recall ->
                                        recall.state()
                                                == VoterRecoveryHandshake.State.WAITING_FOR_PEERS)
                        .orElse(true);
    }

    private MemberStatus look(long now) {
        var disk = log.status();
        Membership group = Membership.of(voter);
        MemberStateEvaluator standing =
                MemberStateEvaluator.of(
                        stop != null,
                        failure,
                        barred,
                        voter != null && voter.isStopped(),
                        isAsking(),
                        self,
                        group,
                        voter == null ? 0 : voter.leader(),
                        session.isAlive(now),
                        voter == null ? 0 : voter.stateAgeNanos().orElse(0L),
                        MemberStateEvaluator.silenceNanos(config));
        long limit =
                standing.follows()
                        ? MemberStateEvaluator.doubtNanos(config)
                        : MemberStateEvaluator.silenceNanos(config);
        int leader = standing.follows() ? voter.leader() : session.isAlive(now) ? heardLeader : 0;
        Map<String, String> figures = new TreeMap<>();
        layers.forEach(
                layer -> guarded(layer, each -> figures.put(each.name(), each.metricsJson())));
        return new MemberStatus(
                standing.state(),
                standing.reason(),
                self,
                leader,
                voter != null && voter.isLeader(),
                voter == null ? 0 : voter.term(),
                state.epoch(),
                state.appliedIndex(),
                group.voters(),
                group.learners(),
                quorum.missingMillis(now, limit),
                voter == null ? -1 : voter.stateAgeNanos().map(age -> age / MILLI).orElse(-1L),
                voter == null ? 0 : voter.pendingProposals(),
                session.pendingCommands(),
                session.sessionId(),
                session.isAlive(now),
                session.sessionId() == 0 ? 0 : (now - sessionSince) / MILLI,
                disk,
                (now - disk.sinceNanos()) / MILLI,
                links.metrics(),
                wish == null ? "" : wish.progress(),
                Map.copyOf(figures));
    }

    private void guarded(ReplicatedService layer, Consumer<ReplicatedService> call) {
        try {
            call.accept(layer);
        } catch (RuntimeException e) {
            LOG.error("{}: layer {}", self, layer.name(), e);
        }
    }
}
