// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.ClusterException;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.MemberSession;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.StatePublisher;
import calicostream.cluster.config.ClusterConfig;
import calicostream.cluster.raft.DurableRaftStore;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterNode;
import calicostream.cluster.tcp.SelectorEventLoop;
import calicostream.cluster.tcp.TcpTransport;
import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.durable.DurableLog;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The event loop of a member: it connects links, voter, session and services, and publishes the
 * status. All its state is owned by the thread that calls {@link #run}; {@link #status}, {@link
 * #execute} and {@link #stop} may be called by any thread and never wait.
 */
final class MemberNode {
    private static final Logger LOG = LoggerFactory.getLogger(Member.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long STOP_GRACE_NANOS = 1_500 * NANOS_PER_MILLI;

    /** How long {@link Member#awaitTermination} waits. */
    static final long STOP_TIMEOUT_MILLIS = 2 * STOP_GRACE_NANOS / NANOS_PER_MILLI;

    /** For the frames that are sent last to leave the process. */
    private static final long STOP_FLUSH_NANOS = 50 * NANOS_PER_MILLI;

    private static final long STOP_TICK_NANOS = 5 * NANOS_PER_MILLI;
    private static final long MIN_TICK_NANOS = 5 * NANOS_PER_MILLI;
    private static final long MAX_TICK_NANOS = 50 * NANOS_PER_MILLI;
    private static final int TICKS_PER_RETRY_DELAY = 10;
    private static final long STATUS_PERIOD_NANOS = 100 * NANOS_PER_MILLI;
    private static final long COMMAND_STEP_NANOS = 200 * NANOS_PER_MILLI;
    private static final long COMMAND_TIMEOUT_NANOS = 60_000 * NANOS_PER_MILLI;

    private final ClusterConfig config;
    private final Voter self;
    private final ServiceGroup services;
    private final SelectorLoop loop;
    private final SelectorEventLoop eventLoop;
    private final DurableLog log;
    private final DurableRaftStore store;
    private final TcpTransport transport;
    private final ReplicatedState state;
    private final StatePublisher publisher;
    private final List<Voter> initialVoters;
    private final LocalVoter voter;
    private final VoterDirectory directory;
    private final MemberSession session;
    private final SessionMonitor sessionMonitor;
    private final QuorumMonitor quorum;
    private final PeerActivity peerActivity = new PeerActivity();
    private final MemberStatusCollector statusCollector;
    private final StatusChangeLogger statusLogger;
    private final long tickNanos;

    /** Why the thread ended; empty if it did not fail. */
    private String threadFailure = "";

    private long nextStatusNanos;

    /** The operators' last command; null without any. */
    private MembershipCommandRunner command;

    /** The planned stop; null before it. */
    private PlannedStop plannedStop;

    /** Whether the planned stop closed the session, which a tick would open again. */
    private boolean isSessionClosed;

    private volatile MemberStatus status;

    /**
     * Opens the member's address and creates all its parts.
     *
     * @param log open; closed when {@link #run} ends
     */
    MemberNode(ClusterConfig config, List<ReplicatedService> serviceList, DurableLog log)
            throws IOException {
        this.config = config;
        this.log = log;
        self = new Voter(config.self().number(), config.generation());
        services = new ServiceGroup(self, serviceList);
        loop = new SelectorLoop(new Clock(), new Deadlines());
        eventLoop = new SelectorEventLoop(loop);
        quorum = new QuorumMonitor(eventLoop.nanoTime());
        statusLogger = new StatusChangeLogger(config.cluster());
        tickNanos = tickNanos(config);
        store = new DurableRaftStore(log);
        StartupRole role =
                StartupRole.of(
                        config.isInitialVoter(),
                        self,
                        store.lastVoter(),
                        log.recoveredState().localState());
        transport =
                new TcpTransport(
                        loop,
                        config.cluster(),
                        self.member(),
                        config.self().address(),
                        config.peerAddresses(),
                        this::onFrame);
        state = new ReplicatedState(services.stateMachines());
        publisher = new StatePublisher(state, self.member());
        initialVoters = config.voters().stream().map(each -> new Voter(each.number(), 0)).toList();
        SecureRandom random = new SecureRandom();
        voter = new LocalVoter(self, role.reason());
        if (role.runsVoter()) {
            voter.attach(newVoterNode(new Random(random.nextLong())));
        }
        directory = new VoterDirectory(initialContacts(config, self, role));
        session = newSession(config, self, directory, random.nextLong());
        sessionMonitor = new SessionMonitor(session);
        statusCollector =
                new MemberStatusCollector(
                        new MemberStatusCollector.Parts(
                                config, self, log, transport, state, voter, services),
                        sessionMonitor,
                        quorum);
        status = collectStatus(eventLoop.nanoTime());
    }

    private static long tickNanos(ClusterConfig config) {
        long retryNanos = config.session().retryDelay().toNanos();
        return Math.max(
                MIN_TICK_NANOS, Math.min(MAX_TICK_NANOS, retryNanos / TICKS_PER_RETRY_DELAY));
    }

    private VoterNode newVoterNode(Random random) {
        ClusterConfig.RaftConfig raft = config.raft();
        return new VoterNode(
                new VoterNode.Settings(
                        self,
                        initialVoters,
                        (int) raft.heartbeatPeriod().toMillis(),
                        raft.missedHeartbeats(),
                        (int) raft.electionTimeout().toMillis(),
                        raft.maxQueuedProposals(),
                        raft.snapshotInterval()),
                new VoterNode.Environment(eventLoop, transport, random, this::onVoterFailure),
                store.storage(),
                state,
                services.expiryMonitors());
    }

    /** A member without a voter does not ask itself. */
    private static List<Integer> initialContacts(
            ClusterConfig config, Voter self, StartupRole role) {
        return config.voters().stream()
                .map(ClusterConfig.MemberAddress::number)
                .filter(number -> role.runsVoter() || number != self.member())
                .toList();
    }

    private static MemberSession newSession(
            ClusterConfig config, Voter self, VoterDirectory directory, long mark) {
        MemberSession.Settings settings =
                new MemberSession.Settings(
                        self.member(),
                        (int) config.session().ttl().toMillis(),
                        (int) config.session().retryDelay().toMillis(),
                        config.session().maxQueuedCommands());
        return new MemberSession(settings, directory.members(), mark);
    }

    /** The last published status. */
    MemberStatus status() {
        return status;
    }

    /** Runs a command in place of the one before it. */
    void execute(MembershipCommand next) {
        loop.post(
                () ->
                        command =
                                new MembershipCommandRunner(
                                        next,
                                        eventLoop.nanoTime(),
                                        COMMAND_STEP_NANOS,
                                        COMMAND_TIMEOUT_NANOS));
    }

    /** Starts the planned stop, unless it has begun. */
    void stop() {
        loop.post(
                () -> {
                    if (plannedStop == null) {
                        plannedStop =
                                new PlannedStop(
                                        eventLoop.nanoTime(), STOP_GRACE_NANOS, STOP_FLUSH_NANOS);
                        services.onStopping();
                    }
                });
    }

    /** The body of the member's thread; ends after a planned stop or a failure. */
    void run() {
        loop.post(this::onStart);
        try {
            loop.run();
        } catch (IOException | RuntimeException | Error e) {
            LOG.error("member {}: thread ended", self, e);
            threadFailure = e.toString();
        } finally {
            setStatus(status.down(threadFailure.isEmpty() ? voter.failure() : threadFailure));
            log.close();
        }
    }

    private void onStart() {
        log.recoveredState()
                .findings()
                .forEach(finding -> LOG.warn("member {}: {}", self, finding));
        statusLogger.log(null, status);
        services.onStart(session, eventLoop::nanoTime);
        if (voter.isPresent()) {
            voter.start(
                    store.recoveryHandshake(
                            self,
                            initialVoters,
                            new SecureRandom().nextLong(),
                            2 * config.raft().missedHeartbeats()));
        }
        tick();
    }

    private void onFrame(int from, byte[] frame) {
        MemberMessage message = MemberMessage.decode(frame);
        long now = eventLoop.nanoTime();
        peerActivity.onFrame(from, now);
        if (message instanceof MemberMessage.Reply reply) {
            onReply(from, reply, now);
        } else if (message instanceof MemberMessage.Notification event) {
            services.onEvent(
                    new ReplicatedState.StateChange(event.machine(), event.index(), event.event()));
            sendSessionFrames(now);
        }
        voter.onFrame(from, frame);
    }

    private void onReply(int from, MemberMessage.Reply reply, long now) {
        CommandOutcome outcome = reply.outcome();
        if (outcome.isAccepted() && reply.ageNanos() == 0) {
            quorum.onQuorumContact(now);
            sessionMonitor.onLeaderAnswer(from);
        } else if (outcome.kind() == CommandOutcome.Kind.FAILED
                && outcome.error() instanceof ClusterException.NotLeader other
                && directory.addLeader(other.leader())) {
            session.updateVoters(directory.members());
        }
        session.received(from, reply, now);
        sendSessionFrames(now);
    }

    private void sendSessionFrames(long now) {
        if (!isSessionClosed) {
            session.tick(now).forEach(frame -> transport.send(frame.voter(), frame.frame()));
        }
    }

    private void tick() {
        long now = eventLoop.nanoTime();
        if (plannedStop != null && continueStop(now)) {
            return;
        }
        eventLoop.schedule(this::tick, plannedStop == null ? tickNanos : STOP_TICK_NANOS);
        publishStateChanges(now);
        if (!isSessionClosed) {
            services.onTick();
            sendSessionFrames(now);
        }
        if (voter.isPresent()) {
            voter.stateAgeNanos().ifPresent(age -> quorum.onQuorumContact(now - age));
            continueCommand(now);
        }
        sessionMonitor.onTick(now);
        if (now - nextStatusNanos >= 0) {
            nextStatusNanos = now + STATUS_PERIOD_NANOS;
            publishStatus(now);
        }
    }

    private void publishStateChanges(long now) {
        List<ReplicatedState.StateChange> changes = state.drainStateChanges();
        changes.forEach(services::onEvent);
        publisher
                .publish(changes, voter.isLeader(), now)
                .forEach(frame -> transport.send(frame.member(), frame.frame()));
    }

    /** Takes the next step of the operators' command. */
    private void continueCommand(long now) {
        if (command == null
                || !command.isDue(now, voter.isLeader(), voter.leader(), voter.membership())) {
            return;
        }
        MembershipCommandRunner running = command;
        if (running.command() instanceof MembershipCommand.ChangeVoters change) {
            voter.stepTowards(
                    change.wantedVoters(),
                    error -> running.onStepCompleted(error == null ? "" : error.getMessage()));
        } else if (running.command() instanceof MembershipCommand.TransferLeadership transfer) {
            voter.transferLeadership(transfer.target());
        }
    }

    /** Takes the next step of the planned stop; returns whether it is over. */
    private boolean continueStop(long now) {
        List<Integer> others =
                directory.members().stream().filter(each -> each != self.member()).toList();
        List<Integer> candidates = peerActivity.mostRecentFirst(others, now, STOP_GRACE_NANOS);
        switch (plannedStop.next(now, session.pendingCommands(), voter.isLeader(), candidates)) {
            case CLOSE_SESSION -> {
                session.close();
                sendSessionFrames(now);
                isSessionClosed = true;
            }
            case TRANSFER_LEADERSHIP ->
                    voter.membership().voters().stream()
                            .filter(each -> each.member() == plannedStop.transferTarget())
                            .findFirst()
                            .ifPresent(voter::transferLeadership);
            case END -> {
                voter.stop();
                transport.close();
                loop.stop();
                return true;
            }
            case WAIT -> {
                // The next tick asks again.
            }
            default -> throw new IllegalStateException("no such step");
        }
        return false;
    }

    /** The session goes on at the other voters; operators see the failure at once. */
    private void onVoterFailure(Throwable reason) {
        if (voter.onFailure(reason)) {
            nextStatusNanos = eventLoop.nanoTime();
        }
    }

    private void publishStatus(long now) {
        MemberStatus next = collectStatus(now);
        setStatus(next);
        List<Integer> voterNumbers =
                next.replica().membership().voters().stream().map(Voter::member).sorted().toList();
        if (next.condition().isFollowing()
                && next.replica().appliedIndex() > 0
                && directory.replaceWith(voterNumbers)) {
            session.updateVoters(directory.members());
        }
    }

    private void setStatus(MemberStatus next) {
        statusLogger.log(status, next);
        status = next;
    }

    private MemberStatus collectStatus(long now) {
        return statusCollector.collect(
                now, plannedStop != null, command == null ? "" : command.progress());
    }
}
