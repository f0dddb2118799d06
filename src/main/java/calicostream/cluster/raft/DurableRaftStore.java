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
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * The library's store over a {@link DurableLog}; one thread, no state of its own. Every call that
 * the library says is to be flushed syncs before it returns.
 */
public final class DurableRaftStore implements RaftStore, VoterRecoveryHandshake.RecoveryStore {
    private static final String SELF = "self";
    private static final String FIRST = "first-voters";
    private static final String PEERS = "peers";
    private final DurableLog log;

    public DurableRaftStore(DurableLog log) {
        this.log = log;
    }

    /** Empty if the log has never been a voter's. */
    public static Optional<RestoredRaftState> restoredState(RecoveredState found) {
        byte[] self = found.metadata().get(SELF);
        byte[] first = found.metadata().get(FIRST);
        if (self == null || first == null) {
            return Optional.empty();
        }
        BinaryCodec.Reader in = new BinaryCodec.Reader("own name", self);
        RaftEndpointPersistentState me =
                RaftMessageCodec.MODEL_FACTORY
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(RaftMessageCodec.voter(in))
                        .setVoting(in.u8() != 0)
                        .build();
        RaftTermPersistentState term =
                RaftMessageCodec.MODEL_FACTORY
                        .createRaftTermPersistentStateBuilder()
                        .setTerm((int) found.term())
                        .setVotedFor(voted(found.votedFor()))
                        .build();
        List<SnapshotChunk> chunks = new ArrayList<>();
        if (found.snapshot() != null) {
            found.snapshot().chunks().forEach(bytes -> chunks.add(RaftMessageCodec.chunk(bytes)));
        }
        var snapshot =
                chunks.isEmpty()
                        ? null
                        : RaftMessageCodec.MODEL_FACTORY
                                .createSnapshotEntryBuilder()
                                .setIndex(chunks.get(0).getIndex())
                                .setTerm(chunks.get(0).getTerm())
                                .setSnapshotChunks(chunks)
                                .setGroupMembersView(chunks.get(0).getGroupMembersView())
                                .build();
        List<LogEntry> entries = new ArrayList<>();
        found.entries().forEach(entry -> entries.add(RaftMessageCodec.entry(entry.bytes())));
        return Optional.of(
                new RestoredRaftState(me, RaftMessageCodec.view(first), term, snapshot, entries));
    }

    /**
     * Asks the peers of the voter that this log is of before it says its first word; for {@link
     * VoterNode#start(Recall)}.
     *
     * @param nonce drawn at random for this process
     * @param patience in heartbeats, for voters that don't answer
     */
    public VoterRecoveryHandshake recoveryHandshake(
            Voter self, List<Voter> first, long nonce, int patience) {
        RecoveredState found = log.recoveredState();
        Collection<RaftEndpoint> voters = new ArrayList<>(first);
        Optional<RestoredRaftState> restored = restoredState(found);
        if (restored.isPresent()) {
            RestoredRaftState state = restored.get();
            voters =
                    state.getSnapshotEntry() != null
                                    && state.getSnapshotEntry().getGroupMembersView() != null
                            ? state.getSnapshotEntry().getGroupMembersView().getVotingMembers()
                            : state.getInitialGroupMembers().getVotingMembers();
            for (LogEntry entry : state.getLogEntries()) {
                voters =
                        entry.getOperation() instanceof UpdateRaftGroupMembersOp op
                                ? op.getVotingMembers()
                                : voters;
            }
        }
        return new VoterRecoveryHandshake(
                self,
                first,
                voters.stream().map(Voter.class::cast).toList(),
                found.localState(),
                found.metadata().get(PEERS),
                nonce,
                patience,
                this);
    }

    @Override
    public void savePeerState(byte[] memory) throws IOException {
        log.saveMetadata(PEERS, memory);
        log.sync();
    }

    @Override
    public void bar(String why) throws IOException {
        log.suspendVoting(why);
    }

    @Override
    public void admit() throws IOException {
        log.admit();
    }

    private static Voter voted(String name) {
        if (name.isEmpty()) {
            return null;
        }
        String[] parts = name.split("\\.");
        return new Voter(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        BinaryCodec.Writer out = new BinaryCodec.Writer();
        RaftMessageCodec.voter(out, self.getLocalEndpoint());
        log.saveMetadata(SELF, out.u8(self.isVoting() ? 1 : 0).toByteArray());
        log.sync();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView first) throws IOException {
        log.saveMetadata(FIRST, RaftMessageCodec.view(first));
        log.sync();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        log.saveTermAndVote(
                term.getTerm(), term.getVotedFor() == null ? "" : term.getVotedFor().toString());
        log.sync();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry entry : entries) {
            log.appendEntry(entry.getIndex(), entry.getTerm(), RaftMessageCodec.entry(entry));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        log.saveSnapshotChunk(
                chunk.getIndex(),
                chunk.getTerm(),
                chunk.getSnapshotChunkIndex(),
                chunk.getSnapshotChunkCount(),
                RaftMessageCodec.chunk(chunk));
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
