// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.BinaryCodec;
import calicostream.durable.DurableLog;
import calicostream.durable.RecoveredState;
import io.microraft.RaftEndpoint;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * The consensus library's store on a {@link DurableLog}, which it neither opens nor closes. Each
 * call that the library requires to be durable syncs before it returns. No state of its own; the
 * voter's thread.
 */
public final class DurableRaftStore implements RaftStore, VoterRecoveryHandshake.RecoveryStore {
    private static final String SELF_NOTE = "self";
    private static final String INITIAL_VOTERS_NOTE = "first-voters";
    private static final String PEERS_NOTE = "peers";
    private final DurableLog log;

    /** Creates a store on an open log. */
    public DurableRaftStore(DurableLog log) {
        this.log = log;
    }

    /** This store with what it held when its log was opened. */
    public VoterNode.Storage storage() {
        return new VoterNode.Storage(this, restoredState(log.recoveredState()));
    }

    /** The voter that last used this log; empty if none has. */
    public Optional<Voter> lastVoter() {
        return restoredState(log.recoveredState())
                .map(state -> state.getLocalEndpointPersistentState().getLocalEndpoint())
                .map(Voter.class::cast);
    }

    /** The library's state in a recovered log; empty if no voter has used it. */
    static Optional<RestoredRaftState> restoredState(RecoveredState recovered) {
        byte[] self = recovered.metadata().get(SELF_NOTE);
        byte[] initialVoters = recovered.metadata().get(INITIAL_VOTERS_NOTE);
        if (self == null || initialVoters == null) {
            return Optional.empty();
        }
        return Optional.of(
                new RestoredRaftState(
                        decodeSelf(self),
                        RaftLogCodec.decodeMembers(initialVoters),
                        restoredTerm(recovered),
                        restoredSnapshot(recovered),
                        recovered.entries().stream()
                                .map(entry -> RaftLogCodec.decodeEntry(entry.bytes()))
                                .toList()));
    }

    private static RaftEndpointPersistentState decodeSelf(byte[] note) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("own name", note);
        return RaftMessageCodec.MODEL_FACTORY
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(RaftLogCodec.readVoter(in))
                .setVoting(in.u8() != 0)
                .build();
    }

    private static RaftTermPersistentState restoredTerm(RecoveredState recovered) {
        return RaftMessageCodec.MODEL_FACTORY
                .createRaftTermPersistentStateBuilder()
                .setTerm((int) recovered.term())
                .setVotedFor(parseVoter(recovered.votedFor()))
                .build();
    }

    /** Null without a snapshot, as the library has it. */
    private static SnapshotEntry restoredSnapshot(RecoveredState recovered) {
        if (recovered.snapshot() == null || recovered.snapshot().chunks().isEmpty()) {
            return null;
        }
        List<SnapshotChunk> chunks =
                recovered.snapshot().chunks().stream().map(RaftLogCodec::decodeChunk).toList();
        SnapshotChunk first = chunks.get(0);
        return RaftMessageCodec.MODEL_FACTORY
                .createSnapshotEntryBuilder()
                .setIndex(first.getIndex())
                .setTerm(first.getTerm())
                .setSnapshotChunks(chunks)
                .setGroupMembersView(first.getGroupMembersView())
                .build();
    }

    /** The inverse of {@link Voter#toString}; null for no vote. */
    private static Voter parseVoter(String name) {
        if (name.isEmpty()) {
            return null;
        }
        String[] numbers = name.split("\\.");
        return new Voter(Integer.parseInt(numbers[0]), Integer.parseInt(numbers[1]));
    }

    /**
     * The handshake that decides whether the voter of this log may take part, for {@link
     * VoterNode#start(VoterRecoveryHandshake)}.
     *
     * @param nonce drawn at random for this process
     * @param patienceHeartbeats how long to wait for voters that do not answer
     */
    public VoterRecoveryHandshake recoveryHandshake(
            Voter self, List<Voter> initialVoters, long nonce, int patienceHeartbeats) {
        RecoveredState recovered = log.recoveredState();
        return new VoterRecoveryHandshake(
                new VoterRecoveryHandshake.Settings(self, initialVoters, nonce, patienceHeartbeats),
                restoredState(recovered)
                        .map(DurableRaftStore::lastKnownVoters)
                        .orElse(initialVoters),
                recovered.localState(),
                recovered.metadata().get(PEERS_NOTE),
                this);
    }

    /** The voters by the last membership in the log, be it committed or not. */
    private static List<Voter> lastKnownVoters(RestoredRaftState state) {
        SnapshotEntry snapshot = state.getSnapshotEntry();
        boolean isInSnapshot = snapshot != null && snapshot.getGroupMembersView() != null;
        RaftGroupMembersView members =
                isInSnapshot ? snapshot.getGroupMembersView() : state.getInitialGroupMembers();
        Collection<RaftEndpoint> voters = members.getVotingMembers();
        for (LogEntry entry : state.getLogEntries()) {
            if (entry.getOperation() instanceof UpdateRaftGroupMembersOp change) {
                voters = change.getVotingMembers();
            }
        }
        return voters.stream().map(Voter.class::cast).toList();
    }

    @Override
    public void savePeerState(byte[] peerState) throws IOException {
        log.saveMetadata(PEERS_NOTE, peerState);
        log.sync();
    }

    @Override
    public void bar(String reason) throws IOException {
        log.suspendVoting(reason);
    }

    @Override
    public void admit() throws IOException {
        log.admit();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        BinaryCodec.Writer out = new BinaryCodec.Writer();
        RaftLogCodec.writeVoter(out, self.getLocalEndpoint());
        log.saveMetadata(SELF_NOTE, out.u8(self.isVoting() ? 1 : 0).toByteArray());
        log.sync();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initial)
            throws IOException {
        log.saveMetadata(INITIAL_VOTERS_NOTE, RaftLogCodec.encodeMembers(initial));
        log.sync();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        RaftEndpoint votedFor = term.getVotedFor();
        log.saveTermAndVote(term.getTerm(), votedFor == null ? "" : votedFor.toString());
        log.sync();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry entry : entries) {
            log.appendEntry(entry.getIndex(), entry.getTerm(), RaftLogCodec.encodeEntry(entry));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        log.saveSnapshotChunk(
                chunk.getIndex(),
                chunk.getTerm(),
                chunk.getSnapshotChunkIndex(),
                chunk.getSnapshotChunkCount(),
                RaftLogCodec.encodeChunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        log.truncateFrom(index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        log.truncateUntil(index);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        log.discardUnfinishedSnapshot();
    }

    @Override
    public void flush() throws IOException {
        log.sync();
    }
}
