// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.BinaryCodec;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;

/**
 * Writes the part of a consensus message that follows its header: one method a kind that has more
 * than a line. {@link RaftMessageDecoder} reads the same fields in the same order. One thread.
 */
final class RaftMessageEncoder {
    private final BinaryCodec.Writer out;

    RaftMessageEncoder(BinaryCodec.Writer out) {
        this.out = out;
    }

    void writeBody(RaftMessageKind kind, RaftMessage message) {
        switch (kind) {
            case APPEND_ENTRIES_REQUEST -> appendEntries((AppendEntriesRequest) message);
            case APPEND_ENTRIES_SUCCESS_RESPONSE ->
                    appendEntriesSuccess((AppendEntriesSuccessResponse) message);
            case APPEND_ENTRIES_FAILURE_RESPONSE ->
                    appendEntriesFailure((AppendEntriesFailureResponse) message);
            case INSTALL_SNAPSHOT_REQUEST -> installSnapshot((InstallSnapshotRequest) message);
            case INSTALL_SNAPSHOT_RESPONSE ->
                    installSnapshotResponse((InstallSnapshotResponse) message);
            case PRE_VOTE_REQUEST -> {
                PreVoteRequest request = (PreVoteRequest) message;
                out.i32(request.getLastLogTerm()).i64(request.getLastLogIndex());
            }
            case PRE_VOTE_RESPONSE -> flag(((PreVoteResponse) message).isGranted());
            case VOTE_REQUEST -> {
                VoteRequest request = (VoteRequest) message;
                out.i32(request.getLastLogTerm()).i64(request.getLastLogIndex());
                flag(request.isSticky());
            }
            case VOTE_RESPONSE -> flag(((VoteResponse) message).isGranted());
            case TRIGGER_LEADER_ELECTION_REQUEST -> {
                TriggerLeaderElectionRequest request = (TriggerLeaderElectionRequest) message;
                out.i32(request.getLastLogTerm()).i64(request.getLastLogIndex());
            }
            default -> throw new IllegalArgumentException("no encoding for " + kind);
        }
    }

    private void appendEntries(AppendEntriesRequest request) {
        out.i32(request.getPreviousLogTerm())
                .i64(request.getPreviousLogIndex())
                .i64(request.getCommitIndex())
                .i64(request.getQuerySequenceNumber())
                .i64(request.getFlowControlSequenceNumber())
                .i32(request.getLogEntries().size());
        request.getLogEntries().forEach(entry -> out.blob(RaftLogCodec.encodeEntry(entry)));
    }

    private void appendEntriesSuccess(AppendEntriesSuccessResponse response) {
        out.i64(response.getLastLogIndex())
                .i64(response.getQuerySequenceNumber())
                .i64(response.getFlowControlSequenceNumber());
    }

    private void appendEntriesFailure(AppendEntriesFailureResponse response) {
        out.i64(response.getExpectedNextIndex())
                .i64(response.getQuerySequenceNumber())
                .i64(response.getFlowControlSequenceNumber());
    }

    private void installSnapshot(InstallSnapshotRequest request) {
        flag(request.isSenderLeader());
        out.i32(request.getSnapshotTerm())
                .i64(request.getSnapshotIndex())
                .i32(request.getTotalSnapshotChunkCount());
        flag(request.getSnapshotChunk() != null);
        if (request.getSnapshotChunk() != null) {
            out.blob(RaftLogCodec.encodeChunk(request.getSnapshotChunk()));
        }
        RaftLogCodec.writeVoters(out, request.getSnapshottedMembers());
        flag(request.getGroupMembersView() != null);
        if (request.getGroupMembersView() != null) {
            out.blob(RaftLogCodec.encodeMembers(request.getGroupMembersView()));
        }
        out.i64(request.getQuerySequenceNumber()).i64(request.getFlowControlSequenceNumber());
    }

    private void installSnapshotResponse(InstallSnapshotResponse response) {
        out.i64(response.getSnapshotIndex())
                .i32(response.getRequestedSnapshotChunkIndex())
                .i64(response.getQuerySequenceNumber())
                .i64(response.getFlowControlSequenceNumber());
    }

    private void flag(boolean value) {
        out.u8(value ? 1 : 0);
    }
}
