// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.PeerTransport;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.InstallSnapshotRequest.InstallSnapshotRequestBuilder;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the part of a consensus message that follows its header: one method a kind, in the field
 * order of {@link RaftMessageEncoder}. One thread.
 */
final class RaftMessageDecoder {
    /** A log entry of an append takes at least so many bytes; bounds the count that is accepted. */
    private static final int MIN_ENTRY_BYTES = 17;

    private static final RaftModelFactory MODEL_FACTORY = RaftMessageCodec.MODEL_FACTORY;

    private final BinaryCodec.Reader in;
    private final RaftEndpoint sender;
    private final int term;

    RaftMessageDecoder(BinaryCodec.Reader in, RaftEndpoint sender, int term) {
        this.in = in;
        this.sender = sender;
        this.term = term;
    }

    RaftMessage readBody(RaftMessageKind kind) {
        return switch (kind) {
            case APPEND_ENTRIES_REQUEST -> appendEntries();
            case APPEND_ENTRIES_SUCCESS_RESPONSE -> appendEntriesSuccess();
            case APPEND_ENTRIES_FAILURE_RESPONSE -> appendEntriesFailure();
            case INSTALL_SNAPSHOT_REQUEST -> installSnapshot();
            case INSTALL_SNAPSHOT_RESPONSE -> installSnapshotResponse();
            case PRE_VOTE_REQUEST -> preVoteRequest();
            case PRE_VOTE_RESPONSE -> preVoteResponse();
            case VOTE_REQUEST -> voteRequest();
            case VOTE_RESPONSE -> voteResponse();
            case TRIGGER_LEADER_ELECTION_REQUEST -> triggerLeaderElection();
        };
    }

    private RaftMessage appendEntries() {
        var builder =
                MODEL_FACTORY
                        .createAppendEntriesRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm(in.i32())
                        .setPreviousLogIndex(in.i64())
                        .setCommitIndex(in.i64())
                        .setQuerySequenceNumber(in.i64())
                        .setFlowControlSequenceNumber(in.i64());
        List<LogEntry> entries = new ArrayList<>();
        for (int left = in.count(MIN_ENTRY_BYTES); left > 0; left--) {
            entries.add(RaftLogCodec.decodeEntry(in.blob(PeerTransport.MAX_FRAME_BYTES)));
        }
        return builder.setLogEntries(entries).build();
    }

    private RaftMessage appendEntriesSuccess() {
        return MODEL_FACTORY
                .createAppendEntriesSuccessResponseBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setLastLogIndex(in.i64())
                .setQuerySequenceNumber(in.i64())
                .setFlowControlSequenceNumber(in.i64())
                .build();
    }

    private RaftMessage appendEntriesFailure() {
        return MODEL_FACTORY
                .createAppendEntriesFailureResponseBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setExpectedNextIndex(in.i64())
                .setQuerySequenceNumber(in.i64())
                .setFlowControlSequenceNumber(in.i64())
                .build();
    }

    private RaftMessage installSnapshot() {
        InstallSnapshotRequestBuilder builder =
                MODEL_FACTORY
                        .createInstallSnapshotRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setSenderLeader(flag())
                        .setSnapshotTerm(in.i32())
                        .setSnapshotIndex(in.i64())
                        .setTotalSnapshotChunkCount(in.i32());
        if (flag()) {
            builder.setSnapshotChunk(
                    RaftLogCodec.decodeChunk(in.blob(PeerTransport.MAX_FRAME_BYTES)));
        }
        builder.setSnapshottedMembers(RaftLogCodec.readVoters(in));
        if (flag()) {
            builder.setGroupMembersView(
                    RaftLogCodec.decodeMembers(in.blob(RaftLogCodec.MAX_MEMBERS_BYTES)));
        }
        return builder.setQuerySequenceNumber(in.i64())
                .setFlowControlSequenceNumber(in.i64())
                .build();
    }

    private RaftMessage installSnapshotResponse() {
        return MODEL_FACTORY
                .createInstallSnapshotResponseBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setSnapshotIndex(in.i64())
                .setRequestedSnapshotChunkIndex(in.i32())
                .setQuerySequenceNumber(in.i64())
                .setFlowControlSequenceNumber(in.i64())
                .build();
    }

    private RaftMessage preVoteRequest() {
        return MODEL_FACTORY
                .createPreVoteRequestBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setLastLogTerm(in.i32())
                .setLastLogIndex(in.i64())
                .build();
    }

    private RaftMessage preVoteResponse() {
        return MODEL_FACTORY
                .createPreVoteResponseBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setGranted(flag())
                .build();
    }

    private RaftMessage voteRequest() {
        return MODEL_FACTORY
                .createVoteRequestBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setLastLogTerm(in.i32())
                .setLastLogIndex(in.i64())
                .setSticky(flag())
                .build();
    }

    private RaftMessage voteResponse() {
        return MODEL_FACTORY
                .createVoteResponseBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setGranted(flag())
                .build();
    }

    private RaftMessage triggerLeaderElection() {
        return MODEL_FACTORY
                .createTriggerLeaderElectionRequestBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setLastLogTerm(in.i32())
                .setLastLogIndex(in.i64())
                .build();
    }

    private boolean flag() {
        return in.u8() != 0;
    }
}
