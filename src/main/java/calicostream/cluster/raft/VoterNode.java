// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.ClusterException;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.EventLoop;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.PeerTransport;
import calicostream.cluster.ReplicatedState;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One voter or learner of the group: runs the consensus library over the member's links, log and
 * replicated state, and answers the members' requests. Owned by the thread of its event loop, on
 * which every method is called. It has no thread, clock, socket, file or randomness of its own, so
 * that a test can run a whole cluster in virtual time. Once it failed or was stopped it sends
 * nothing more; only a new instance can replace it.
 */
public final class VoterNode implements PeerTransport.Receiver {
    /**
     * The settings of a voter.
     *
     * @param initialVoters the voters that the cluster was created with, the same at every member;
     *     a voter that joined later is not among them
     * @param heartbeatMillis period of a leader's heartbeats, and of this voter's own timer
     * @param missedHeartbeats after which a follower suspects the leader
     * @param electionMillis after which an undecided election is repeated, plus a random part
     * @param proposalQueueLimit undecided proposals; further ones are rejected
     * @param snapshotIntervalEntries log entries between two snapshots
     */
    public record Settings(
            Voter self,
            List<Voter> initialVoters,
            int heartbeatMillis,
            int missedHeartbeats,
            int electionMillis,
            int proposalQueueLimit,
            int snapshotIntervalEntries) {
        long heartbeatNanos() {
            return heartbeatMillis * NANOS_PER_MILLI;
        }

        /** How many silent heartbeats make this voter abandon a leader that the library keeps. */
        int abandonedAfterHeartbeats() {
            return ABANDON_FACTOR * missedHeartbeats;
        }
    }

    /**
     * What a voter needs of its surroundings.
     *
     * @param onFailure called once with the reason if this voter stops by itself
     */
    public record Environment(
            EventLoop eventLoop,
            PeerTransport transport,
            Random random,
            Consumer<Throwable> onFailure) {}

    /**
     * Where a voter keeps its log.
     *
     * @param restored what the store held at the start; empty if this voter has not run before
     */
    public record Storage(RaftStore store, Optional<RestoredRaftState> restored) {
        boolean hasEntries() {
            return restored.isPresent() && !restored.get().getLogEntries().isEmpty();
        }
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The library is to act first wherever it can, so this voter waits longer than it does. */
    private static final int ABANDON_FACTOR = 3;

    private static final Logger LOG = LoggerFactory.getLogger(VoterNode.class);
    private final Settings settings;
    private final Environment environment;
    private final ReplicatedState state;
    private final LeaderHeartbeatTimeout leaderTimeout;
    private final LogTermIndex terms = new LogTermIndex();
    private final RaftNode raft;
    private final RaftGroupView group;
    private final RaftRequests requests;
    private final LeaderDuties leaderDuties;
    private final StateAgeTracker stateAge;
    private final VoterChangeExecutor voterChanges;
    private final boolean restoredEntries;

    /** Null if this voter was started without asking its peers. */
    private RecoveryHandshakeTransport handshake;

    private boolean started;
    private boolean stopped;

    /**
     * Creates a voter that is silent until one of the start methods is called.
     *
     * @param expiryMonitors by the name of the state machine whose time they count
     */
    public VoterNode(
            Settings settings,
            Environment environment,
            Storage storage,
            ReplicatedState state,
            Map<String, ExpiryMonitor> expiryMonitors) {
        this.settings = settings;
        this.environment = environment;
        this.state = state;
        restoredEntries = storage.hasEntries();
        storage.restored().ifPresent(found -> terms.append(found.getLogEntries()));
        LogApplier applier =
                new LogApplier(settings.self.member(), state, environment.random, this::fail);
        leaderTimeout =
                new LeaderHeartbeatTimeout(settings.self, settings.abandonedAfterHeartbeats());
        stateAge = new StateAgeTracker(state, environment.random.nextLong());
        raft =
                RaftNodeFactory.create(
                        settings,
                        environment,
                        storage.restored(),
                        new FailStopStore(storage.store, terms, this::fail),
                        applier,
                        new RaftMessageSender(environment.transport, this::maySend));
        group = new RaftGroupView(settings.self, raft, state, applier);
        requests = new RaftRequests(raft, group, state, settings.proposalQueueLimit);
        leaderDuties =
                new LeaderDuties(
                        state, expiryMonitors, settings.heartbeatNanos(), requests::propose);
        voterChanges =
                new VoterChangeExecutor(
                        raft, settings.self, state, requests::propose, this::notLeaderError);
    }

    private boolean maySend(RaftMessage message) {
        boolean requestsVotes = message instanceof VoteRequest || message instanceof PreVoteRequest;
        return !stopped && (!requestsVotes || group.isEffectiveVoter());
    }

    /** Starts at once; only for a voter whose state is known to be complete. */
    public void start() {
        started = true;
        raft.start();
        tick();
    }

    /**
     * Starts with the recovery handshake: the voter is silent until its peers confirmed that its
     * state is complete, or stops for good if they refute it.
     */
    public void start(VoterRecoveryHandshake recovery) {
        handshake =
                new RecoveryHandshakeTransport(
                        settings.self,
                        recovery,
                        environment.eventLoop,
                        environment.transport,
                        settings.heartbeatNanos(),
                        new RecoveryHandshakeTransport.VoterHooks(
                                this::isStopped,
                                () -> restoredEntries || state.appliedIndex() > 0,
                                () -> state.appliedIndex() > 0 && voters().contains(settings.self),
                                this::start,
                                this::fail));
        handshake.tick();
    }

    /** The recovery handshake; empty if this voter was started without one. */
    public Optional<VoterRecoveryHandshake> recoveryHandshake() {
        return Optional.ofNullable(handshake).map(RecoveryHandshakeTransport::handshake);
    }

    /** Stops sending at once; the other voters may still decide what was proposed here. */
    public void stop() {
        if (!stopped) {
            stopped = true;
            terminate();
        }
    }

    /** A removed voter was terminated by the library, which does not accept a second call. */
    private void terminate() {
        if (!RaftNodeStatus.isTerminal(raft.getStatus())) {
            raft.terminate();
        }
    }

    /** Stops after a failure: from here on this voter neither votes nor acknowledges. */
    private void fail(Throwable reason) {
        if (!stopped) {
            stopped = true;
            environment.eventLoop.execute(this::terminate);
            environment.onFailure.accept(reason);
        }
    }

    /** Whether it was stopped, failed, or was terminated because its log says it was removed. */
    public boolean isStopped() {
        return stopped || RaftNodeStatus.isTerminal(raft.getStatus());
    }

    /** Whether this voter leads as far as it knows, with all entries of former leaders applied. */
    public boolean isLeader() {
        return !stopped && group.isLeader();
    }

    /** The leader's member number as far as is known here; 0 if it is not. */
    public int leader() {
        return group.leader();
    }

    /** The current term of the consensus. */
    public int term() {
        return group.term();
    }

    /** The voters of the last committed membership. */
    public List<Voter> voters() {
        return group.voters();
    }

    /** Voters and learners of the last committed membership. */
    public List<Voter> votersAndLearners() {
        return group.votersAndLearners();
    }

    /** The state that this voter applies the log to. */
    public ReplicatedState state() {
        return state;
    }

    /** Proposals of this voter that are not decided yet. */
    public int pendingProposals() {
        return requests.pendingProposals();
    }

    /**
     * The greatest age that this copy of the state can have; empty before a leader confirmed it.
     */
    public Optional<Long> stateAgeNanos() {
        return stateAge.ageNanos(environment.eventLoop.nanoTime());
    }

    /** Transfers the leadership to another voter, if this voter leads. */
    public void transferLeadership(Voter target) {
        if (!stopped) {
            raft.transferLeadership(target);
        }
    }

    /**
     * Changes one voter; only the leader can, one change at a time. A removed generation is never
     * added again ({@link ClusterException.GenerationRetired} names the next one). A learner that
     * has not acknowledged the present membership is not promoted: one that is lost for good would
     * count towards a quorum that might never be reached.
     *
     * @param done called with the error, or with null once the change is committed
     */
    public void changeVoter(VoterChange change, Voter voter, Consumer<ClusterException> done) {
        voterChanges.change(change, voter, done);
    }

    /**
     * Starts the next step towards the wanted voters, if this voter leads and a step is left; to be
     * called again until {@link #voters()} are the wanted ones.
     *
     * @param done as of {@link #changeVoter}; not called for a leadership transfer
     */
    public void stepTowards(Collection<Voter> wanted, Consumer<ClusterException> done) {
        voterChanges.stepTowards(wanted, done);
    }

    private ClusterException notLeaderError() {
        return isLeader()
                ? null
                : new ClusterException.NotLeader(settings.self.member(), leader(), state.epoch());
    }

    private void tick() {
        if (isStopped()) {
            return;
        }
        leaderTimeout
                .onHeartbeat(raft.getTerm())
                .filter(message -> group.isEffectiveVoter())
                .ifPresent(this::abandonLeader);
        long now = environment.eventLoop.nanoTime();
        boolean leads = isLeader();
        leaderDuties.onHeartbeat(now, leads);
        if (leads) {
            requests.read(
                    LogApplier.StateQuery.INDEX_ONLY,
                    outcome -> stateAge.onConfirmed(outcome, now));
        } else if (leader() != 0 && leader() != settings.self.member()) {
            environment.transport.send(leader(), stateAge.newLeaderRequest(now).encode());
        }
        environment.eventLoop.schedule(this::tick, settings.heartbeatNanos());
    }

    private void abandonLeader(RaftMessage higherTerm) {
        LOG.warn(
                "voter {} abandons leader {} of term {}: no message for {} heartbeats",
                settings.self,
                leader(),
                term(),
                settings.abandonedAfterHeartbeats());
        raft.handle(higherTerm);
    }

    @Override
    public void onFrame(int from, byte[] bytes) {
        if (isStopped()) {
            return;
        }
        MemberMessage message = MemberMessage.decode(bytes);
        if (handshake != null) {
            handshake.onMessage(from, message);
        }
        if (!started) {
            return;
        }
        if (message instanceof MemberMessage.RaftMessage raftMessage) {
            onRaftMessage(from, raftMessage);
        } else if (message instanceof MemberMessage.Request request) {
            onRequest(from, request);
        } else if (message instanceof MemberMessage.Reply reply) {
            stateAge.onLeaderReply(reply);
        }
    }

    private void onRaftMessage(int from, MemberMessage.RaftMessage message) {
        RaftMessage decoded = RaftMessageCodec.decode(message.message());
        boolean isFromSender = ((Voter) decoded.getSender()).member() == from;
        if (isFromSender && message.generation() == settings.self.generation()) {
            leaderTimeout.onMessage(decoded);
            recoveryHandshake().ifPresent(recovery -> recovery.onRaftMessage(decoded));
            raft.handle(terms.skipKnownEntries(decoded, state.appliedIndex()));
        }
    }

    private void onRequest(int from, MemberMessage.Request request) {
        switch (request.operation()) {
            case PROPOSE ->
                    requests.proposeEncoded(
                            request.body(), outcome -> replyIfRunning(from, request, outcome));
            case READ ->
                    requests.read(
                            new LogApplier.StateQuery(request.machine(), request.body()),
                            outcome -> replyIfRunning(from, request, outcome));
            case LOCAL_READ -> {
                Optional<Long> ageNanos = stateAgeNanos();
                CommandOutcome outcome = requests.readLocal(request, ageNanos.isPresent());
                reply(from, request, ageNanos.orElse(0L), outcome);
            }
            default ->
                    throw new IllegalStateException("no request asks for " + request.operation());
        }
    }

    private void replyIfRunning(int to, MemberMessage.Request request, CommandOutcome outcome) {
        if (!stopped) {
            reply(to, request, 0, outcome);
        }
    }

    private void reply(
            int to, MemberMessage.Request request, long ageNanos, CommandOutcome outcome) {
        environment.transport.send(
                to, new MemberMessage.Reply(request.id(), ageNanos, outcome).encode());
    }

    @Override
    public String toString() {
        return "voter %s %s%s %s applied %d epoch %d voters %s of %s"
                .formatted(
                        settings.self,
                        raft.getStatus(),
                        stopped ? " stopped" : "",
                        raft.getTerm(),
                        state.appliedIndex(),
                        state.epoch(),
                        voters(),
                        votersAndLearners());
    }
}
