// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.BoundedElapsedTime;
import calicostream.cluster.ClusterException;
import calicostream.cluster.Command;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.EventLoop;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.PeerTransport;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.SessionExpiryMonitor;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.transport.Transport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A voter: the consensus library, the replicated machine, and the requests of members. Owned by its
 * reactor's thread, on which everything here is called. It has no thread, clock, socket, file or
 * randomness of its own, so that a test may run a whole cluster in virtual time. Once it failed or
 * was stopped it says nothing more; the way back is a new one.
 */
public final class VoterNode implements PeerTransport.Receiver {
    /**
     * @param first the voters that the cluster began with, the same everywhere; a joiner is none of
     *     them
     * @param heartbeatMillis of a leader; of everything else the beat as well
     * @param missed heartbeats until a leader is doubted
     * @param electionMillis after which an undecided election begins anew, with a random part
     * @param queue of proposals that are not yet decided; more are refused
     * @param snapshotEvery so many entries
     */
    public record Settings(
            Voter self,
            List<Voter> initialVoters,
            int heartbeatMillis,
            int missedHeartbeats,
            int electionMillis,
            int proposalQueueLimit,
            int snapshotIntervalEntries) {}

    /** Entries of one append: of the largest ones, half a frame. */
    private static final int BATCH =
            PeerTransport.MAX_FRAME_BYTES / (2 * Command.MAX_BODY_BYTES) / 2;

    private static final Logger LOG = LoggerFactory.getLogger(VoterNode.class);
    private final Settings settings;
    private final EventLoop reactor;
    private final PeerTransport links;
    private final ReplicatedState state;
    private final Map<String, ExpiryMonitor> timekeepers;
    private final SessionExpiryMonitor keeper;
    private final BoundedElapsedTime counted;
    private final LogApplier stepper;
    private final LeaderHeartbeatTimeout silence;
    private final VoterChangeExecutor changes;
    private final LogTermIndex terms = new LogTermIndex();
    private final RaftNode raft;
    private final Consumer<Throwable> failed;
    private boolean stopped;
    private final boolean wasRestored;
    private RecoveryHandshakeTransport firstWord; // null where nobody is asked
    private boolean begun;
    private long toldEra;
    private int pendingProposals;
    private long freshSince;
    private boolean fresh;
    private long nextId;
    private long askAt;
    private long askId;

    /**
     * @param restored what the store held, if this voter has run before
     * @param timekeepers of the machines, by name
     * @param failed hears once why this voter stopped by itself
     */
    public VoterNode(
            Settings settings,
            EventLoop reactor,
            PeerTransport links,
            RaftStore store,
            Optional<RestoredRaftState> restored,
            ReplicatedState state,
            Map<String, ExpiryMonitor> timekeepers,
            Random random,
            Consumer<Throwable> failed) {
        this.settings = settings;
        this.reactor = reactor;
        this.links = links;
        this.state = state;
        this.timekeepers = timekeepers;
        this.failed = failed;
        this.keeper = new SessionExpiryMonitor(state, settings.heartbeatMillis * 1_000_000L);
        this.counted = new BoundedElapsedTime(settings.heartbeatMillis * 1_000_000L);
        this.stepper = new LogApplier(settings.self.member(), state, random, this::fail);
        this.silence = new LeaderHeartbeatTimeout(settings.self, 3 * settings.missedHeartbeats);
        this.nextId = random.nextLong();
        RaftExecutor pace = new RaftExecutor(reactor, settings.heartbeatMillis);
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setConfig(
                                RaftConfig.newBuilder()
                                        .setLeaderHeartbeatPeriodSecs(1)
                                        .setLeaderHeartbeatTimeoutSecs(settings.missedHeartbeats)
                                        .setAppendEntriesRequestBatchSize(BATCH)
                                        .setLeaderElectionTimeoutMillis(
                                                Math.max(
                                                        100,
                                                        pace.raftMillis(settings.electionMillis)))
                                        .setCommitCountToTakeSnapshot(
                                                settings.snapshotIntervalEntries)
                                        .setMaxPendingLogEntryCount(
                                                Math.max(2 * settings.proposalQueueLimit, 128))
                                        .setTransferSnapshotsFromFollowersEnabled(false)
                                        .build())
                        .setExecutor(pace)
                        .setClock(pace)
                        .setRandom(random)
                        .setStore(new FailStopStore(store, terms, this::fail))
                        .setStateMachine(stepper)
                        .setTransport(new Sender())
                        .setModelFactory(RaftMessageCodec.MODEL_FACTORY);
        wasRestored = restored.isPresent() && !restored.get().getLogEntries().isEmpty();
        restored.ifPresent(found -> terms.append(found.getLogEntries()));
        if (restored.isPresent()) {
            builder.setRestoredState(restored.get());
        } else {
            builder.setLocalEndpoint(settings.self)
                    .setInitialGroupMembers(new ArrayList<RaftEndpoint>(settings.initialVoters));
        }
        this.raft = builder.build();
        this.changes =
                new VoterChangeExecutor(
                        raft,
                        settings.self,
                        state,
                        (entry, reply) -> propose(entry.encode(), reply),
                        this::notLeading);
    }

    private final class Sender implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            boolean asksForVotes =
                    message instanceof VoteRequest || message instanceof PreVoteRequest;
            if (!stopped && (!asksForVotes || mayLead())) {
                Voter to = (Voter) target;
                links.send(
                        to.member(),
                        new MemberMessage.RaftMessage(
                                        to.generation(), RaftMessageCodec.message(message))
                                .encode());
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }
    }

    /**
     * The library lets a voter stand whose own log says that it was removed, and counts its own
     * vote into a majority of the others: two leaders of one term. So who is not among the voters
     * asks nobody.
     */
    private boolean mayLead() {
        return raft.getEffectiveMembers().getVotingMembers().contains(settings.self);
    }

    /** Speaks at once; for who knows that nothing was forgotten. */
    public void start() {
        begun = true;
        raft.start();
        beat();
    }

    /**
     * Asks peers first what they remember of this voter: silent until {@code first} lets it speak,
     * or stops it for good.
     */
    public void start(VoterRecoveryHandshake first) {
        firstWord =
                new RecoveryHandshakeTransport(
                        settings.self,
                        first,
                        reactor,
                        links,
                        settings.heartbeatMillis * 1_000_000L,
                        new RecoveryHandshakeTransport.Hooks(
                                this::isStopped,
                                () -> wasRestored || state.appliedIndex() > 0,
                                () -> state.appliedIndex() > 0 && voters().contains(settings.self),
                                this::start,
                                this::fail));
        firstWord.beat();
    }

    /** Where this voter stands before its first word; empty if it was started without asking. */
    public Optional<VoterRecoveryHandshake> recoveryHandshake() {
        return Optional.ofNullable(firstWord).map(RecoveryHandshakeTransport::recall);
    }

    /** Silent from now on; what was proposed may still be decided by the others. */
    public void stop() {
        if (!stopped) {
            stopped = true;
            end();
        }
    }

    /** Who was removed has ended by itself, and the library takes no second end. */
    private void end() {
        if (!RaftNodeStatus.isTerminal(raft.getStatus())) {
            raft.terminate();
        }
    }

    /**
     * This voter is as it was before the failure, and silent: it neither votes nor acknowledges any
     * more.
     */
    private void fail(Throwable why) {
        if (!stopped) {
            stopped = true;
            reactor.execute(this::end);
            failed.accept(why);
        }
    }

    public boolean isStopped() {
        return stopped || RaftNodeStatus.isTerminal(raft.getStatus());
    }

    /** This voter leads as far as it knows, and its copy has all that its predecessors left. */
    public boolean isLeader() {
        return !stopped
                && settings.self.equals(raft.getTerm().getLeaderEndpoint())
                && stepper.startedCurrentEra();
    }

    /** The leader's member as far as is known here; 0 if not. */
    public int leader() {
        Voter leader = (Voter) raft.getTerm().getLeaderEndpoint();
        return leader == null ? 0 : leader.member();
    }

    public int term() {
        return raft.getTerm().getTerm();
    }

    public Collection<RaftEndpoint> voters() {
        return raft.getCommittedMembers().getVotingMembers();
    }

    public Collection<RaftEndpoint> votersAndLearners() {
        return raft.getCommittedMembers().getMembers();
    }

    public ReplicatedState state() {
        return state;
    }

    /** How many proposals wait for a decision here. */
    public int pendingProposals() {
        return pendingProposals;
    }

    /** How old this copy is at most; empty until a leader was heard of once. */
    public Optional<Long> stateAgeNanos() {
        return fresh ? Optional.of(reactor.nanoTime() - freshSince) : Optional.empty();
    }

    /** Hands the lead to another voter, for a planned stop. */
    public void transferLeadership(Voter to) {
        if (!stopped) {
            raft.transferLeadership(to);
        }
    }

    /**
     * Changes one voter; only the leader can, one change at a time. {@code done} hears the error,
     * or null once the change holds. Who was removed is never added again ({@link
     * ClusterException.GenerationOver} names the generation to come back under). Who has not
     * acknowledged the present voters and learners is not promoted: one that is gone for good would
     * count into a quorum that then may never be.
     */
    public void changeVoter(VoterChange change, Voter who, Consumer<ClusterException> done) {
        changes.change(change, who, done);
    }

    /**
     * Takes the next step towards these voters, if this voter leads and there is one; called again
     * until {@link #voters()} are the wanted ones. {@code done} hears of a step as with {@link
     * #change}.
     */
    public void stepTowards(Collection<Voter> wanted, Consumer<ClusterException> done) {
        changes.towards(wanted, done);
    }

    private ClusterException notLeading() {
        return isLeader()
                ? null
                : new ClusterException.NotLeader(settings.self.member(), leader(), state.epoch());
    }

    private void beat() {
        if (isStopped()) {
            return;
        }
        silence.onHeartbeat(raft.getTerm())
                .filter(message -> mayLead())
                .ifPresent(
                        message -> {
                            LOG.warn(
                                    "voter {} forgets leader {} of term {}, silent for {}"
                                            + " heartbeats",
                                    settings.self,
                                    leader(),
                                    term(),
                                    3 * settings.missedHeartbeats);
                            raft.handle(message);
                        });
        long now = reactor.nanoTime();
        long span = counted.advance(now);
        if (isLeader()) {
            if (toldEra != state.epoch()) {
                toldEra = state.epoch();
                timekeepers.values().forEach(timekeeper -> timekeeper.epochStarted(toldEra, span));
            }
            for (ReplicatedEntry.ExpireSession expire : keeper.expiredSessions(now)) {
                propose(expire.encode(), outcome -> {});
            }
            timekeepers.forEach(
                    (name, timekeeper) -> {
                        for (byte[] body : timekeeper.expiredCommands(span)) {
                            propose(
                                    new ReplicatedEntry.LeaderCommand(state.epoch(), name, body)
                                            .encode(),
                                    outcome -> {});
                        }
                    });
            read(new LogApplier.StateQuery("", new byte[0]), outcome -> fresh(outcome, now));
        } else if (leader() != 0 && leader() != settings.self.member()) {
            askAt = now;
            askId = nextId++;
            links.send(
                    leader(),
                    new MemberMessage.Request(askId, MemberMessage.Operation.READ, "", new byte[0])
                            .encode());
        }
        reactor.schedule(this::beat, settings.heartbeatMillis * 1_000_000L);
    }

    /**
     * The leader had all up to an index at some moment after {@code sinceNanos}; so has this copy
     * once it got there.
     */
    private void fresh(CommandOutcome outcome, long sinceNanos) {
        if (outcome.isAccepted()
                && state.appliedIndex() >= outcome.index()
                && (!fresh || sinceNanos - freshSince > 0)) {
            fresh = true;
            freshSince = sinceNanos;
        }
    }

    @Override
    public void onFrame(int from, byte[] bytes) {
        if (isStopped()) {
            return;
        }
        MemberMessage frame = MemberMessage.decode(bytes);
        Optional.ofNullable(firstWord).ifPresent(word -> word.received(from, frame));
        if (begun) {
            received(from, frame);
        }
    }

    private void received(int from, MemberMessage frame) {
        if (frame instanceof MemberMessage.RaftMessage message) {
            RaftMessage decoded = RaftMessageCodec.message(message.message());
            if (((Voter) decoded.getSender()).member() == from
                    && message.generation() == settings.self.generation()) {
                silence.onMessage(decoded);
                recoveryHandshake().ifPresent(recall -> recall.onRaftMessage(decoded));
                raft.handle(terms.skipKnownEntries(decoded, state.appliedIndex()));
            }
        } else if (frame instanceof MemberMessage.Request request) {
            Consumer<CommandOutcome> reply =
                    outcome -> {
                        if (!stopped) {
                            links.send(
                                    from,
                                    new MemberMessage.Reply(request.id(), 0, outcome).encode());
                        }
                    };
            switch (request.operation()) {
                case PROPOSE -> proposeOf(request.body(), reply);
                case READ ->
                        read(new LogApplier.StateQuery(request.machine(), request.body()), reply);
                case LOCAL_READ -> local(from, request);
            }
        } else if (frame instanceof MemberMessage.Reply reply && reply.id() == askId) {
            fresh(reply.outcome(), askAt);
        }
    }

    private void local(int from, MemberMessage.Request request) {
        Optional<Long> age = stateAgeNanos();
        CommandOutcome outcome =
                !state.hasMachine(request.machine())
                        ? CommandOutcome.failed(0, ClusterException.UnknownStateMachine.CODE)
                        : age.isEmpty()
                                ? CommandOutcome.failed(
                                        0,
                                        ClusterException.NoQuorum.CODE,
                                        settings.self.member(),
                                        0)
                                : new CommandOutcome(
                                        CommandOutcome.Kind.ACCEPTED,
                                        state.appliedIndex(),
                                        "",
                                        state.query(request.machine(), request.body()));
        links.send(from, new MemberMessage.Reply(request.id(), age.orElse(0L), outcome).encode());
    }

    private void proposeOf(byte[] bytes, Consumer<CommandOutcome> reply) {
        ReplicatedEntry entry;
        try {
            entry = ReplicatedEntry.decode(bytes);
        } catch (ClusterException.Malformed e) {
            reply.accept(CommandOutcome.failed(0, e.code()));
            return;
        }
        if (entry.isLeaderOnly()) {
            reply.accept(CommandOutcome.failed(0, ClusterException.Malformed.CODE));
        } else if (entry instanceof ReplicatedEntry.RunCommand run
                && !state.hasMachine(run.machine())) {
            reply.accept(CommandOutcome.failed(0, ClusterException.UnknownStateMachine.CODE));
        } else {
            propose(bytes, reply);
        }
    }

    private void propose(byte[] entry, Consumer<CommandOutcome> reply) {
        if (pendingProposals >= settings.proposalQueueLimit) {
            reply.accept(
                    CommandOutcome.failed(
                            0,
                            ClusterException.QueueFull.CODE,
                            settings.self.member(),
                            pendingProposals,
                            settings.proposalQueueLimit));
            return;
        }
        pendingProposals++;
        raft.<CommandOutcome>replicate(entry)
                .whenComplete(
                        (ok, error) -> {
                            pendingProposals--;
                            reply.accept(error == null ? ok.getResult() : failure(error));
                        });
    }

    private void read(LogApplier.StateQuery question, Consumer<CommandOutcome> reply) {
        if (!question.machine().isEmpty() && !state.hasMachine(question.machine())) {
            reply.accept(CommandOutcome.failed(0, ClusterException.UnknownStateMachine.CODE));
            return;
        }
        raft.<CommandOutcome>query(
                        question, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete(
                        (ok, error) ->
                                reply.accept(error == null ? ok.getResult() : failure(error)));
    }

    private CommandOutcome failure(Throwable error) {
        if (error instanceof NotLeaderException) {
            return CommandOutcome.failed(
                    0,
                    ClusterException.NotLeader.CODE,
                    settings.self.member(),
                    leader(),
                    state.epoch());
        } else if (error instanceof CannotReplicateException) {
            return CommandOutcome.failed(
                    0,
                    ClusterException.QueueFull.CODE,
                    settings.self.member(),
                    pendingProposals,
                    settings.proposalQueueLimit);
        }
        return CommandOutcome.failed(
                0, ClusterException.OutcomeUnknown.CODE, settings.self.member(), 0, 0);
    }

    @Override
    public String toString() {
        return "voter "
                + settings.self
                + " "
                + raft.getStatus()
                + (stopped ? " stopped" : "")
                + " "
                + raft.getTerm()
                + " applied "
                + state.appliedIndex()
                + " era "
                + state.epoch()
                + " voters "
                + voters()
                + " of "
                + votersAndLearners();
    }
}
