// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.cluster.PeerTransport;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
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
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * The library's messages and log records as bytes. Stateless; whatever is not what an encoder here
 * made is {@link ClusterException.Malformed}. Every message starts with a version, its kind, the
 * sender and the term.
 */
public final class RaftMessageCodec {
    static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();
    static final Object GROUP_ID = "calicostream";
    private static final int VERSION = 1;

    private RaftMessageCodec() {}

    public static byte[] message(RaftMessage message) {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION).u8(kind(message));
        voter(out, message.getSender());
        out.i32(message.getTerm());
        if (message instanceof AppendEntriesRequest m) {
            out.i32(m.getPreviousLogTerm())
                    .i64(m.getPreviousLogIndex())
                    .i64(m.getCommitIndex())
                    .i64(m.getQuerySequenceNumber())
                    .i64(m.getFlowControlSequenceNumber())
                    .i32(m.getLogEntries().size());
            m.getLogEntries().forEach(entry -> out.blob(entry(entry)));
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            out.i64(m.getLastLogIndex())
                    .i64(m.getQuerySequenceNumber())
                    .i64(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            out.i64(m.getExpectedNextIndex())
                    .i64(m.getQuerySequenceNumber())
                    .i64(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            out.u8(m.isSenderLeader() ? 1 : 0)
                    .i32(m.getSnapshotTerm())
                    .i64(m.getSnapshotIndex())
                    .i32(m.getTotalSnapshotChunkCount())
                    .u8(m.getSnapshotChunk() == null ? 0 : 1);
            if (m.getSnapshotChunk() != null) {
                out.blob(chunk(m.getSnapshotChunk()));
            }
            voters(out, m.getSnapshottedMembers());
            out.u8(m.getGroupMembersView() == null ? 0 : 1);
            if (m.getGroupMembersView() != null) {
                out.blob(view(m.getGroupMembersView()));
            }
            out.i64(m.getQuerySequenceNumber()).i64(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotResponse m) {
            out.i64(m.getSnapshotIndex())
                    .i32(m.getRequestedSnapshotChunkIndex())
                    .i64(m.getQuerySequenceNumber())
                    .i64(m.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest m) {
            out.i32(m.getLastLogTerm()).i64(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            out.u8(m.isGranted() ? 1 : 0);
        } else if (message instanceof VoteRequest m) {
            out.i32(m.getLastLogTerm()).i64(m.getLastLogIndex()).u8(m.isSticky() ? 1 : 0);
        } else if (message instanceof VoteResponse m) {
            out.u8(m.isGranted() ? 1 : 0);
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            out.i32(m.getLastLogTerm()).i64(m.getLastLogIndex());
        }
        return out.toByteArray();
    }

    private static int kind(RaftMessage message) {
        List<Class<? extends RaftMessage>> kinds =
                List.of(
                        AppendEntriesRequest.class,
                        AppendEntriesSuccessResponse.class,
                        AppendEntriesFailureResponse.class,
                        InstallSnapshotRequest.class,
                        InstallSnapshotResponse.class,
                        PreVoteRequest.class,
                        PreVoteResponse.class,
                        VoteRequest.class,
                        VoteResponse.class,
                        TriggerLeaderElectionRequest.class);
        for (int i = 0; i < kinds.size(); i++) {
            if (kinds.get(i).isInstance(message)) {
                return i + 1;
            }
        }
        throw new IllegalArgumentException("no kind for " + message);
    }

    public static RaftMessage message(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("message", bytes);
        in.requireVersion(VERSION);
        int kind = in.u8();
        RaftEndpoint sender = voter(in);
        int term = in.i32();
        RaftMessage message =
                switch (kind) {
                    case 1 -> {
                        var m =
                                MODEL_FACTORY
                                        .createAppendEntriesRequestBuilder()
                                        .setGroupId(GROUP_ID)
                                        .setSender(sender)
                                        .setTerm(term)
                                        .setPreviousLogTerm(in.i32())
                                        .setPreviousLogIndex(in.i64())
                                        .setCommitIndex(in.i64())
                                        .setQuerySequenceNumber(in.i64())
                                        .setFlowControlSequenceNumber(in.i64());
                        List<LogEntry> entries = new ArrayList<>();
                        for (int left = in.count(17); left > 0; left--) {
                            entries.add(entry(in.blob(PeerTransport.MAX_FRAME_BYTES)));
                        }
                        yield m.setLogEntries(entries).build();
                    }
                    case 2 ->
                            MODEL_FACTORY
                                    .createAppendEntriesSuccessResponseBuilder()
                                    .setGroupId(GROUP_ID)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setLastLogIndex(in.i64())
                                    .setQuerySequenceNumber(in.i64())
                                    .setFlowControlSequenceNumber(in.i64())
                                    .build();
                    case 3 ->
                            MODEL_FACTORY
                                    .createAppendEntriesFailureResponseBuilder()
                                    .setGroupId(GROUP_ID)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setExpectedNextIndex(in.i64())
                                    .setQuerySequenceNumber(in.i64())
                                    .setFlowControlSequenceNumber(in.i64())
                                    .build();
                    case 4 -> {
                        var m =
                                MODEL_FACTORY
                                        .createInstallSnapshotRequestBuilder()
                                        .setGroupId(GROUP_ID)
                                        .setSender(sender)
                                        .setTerm(term)
                                        .setSenderLeader(in.u8() != 0)
                                        .setSnapshotTerm(in.i32())
                                        .setSnapshotIndex(in.i64())
                                        .setTotalSnapshotChunkCount(in.i32());
                        m.setSnapshotChunk(
                                in.u8() == 0
                                        ? null
                                        : chunk(in.blob(PeerTransport.MAX_FRAME_BYTES)));
                        m.setSnapshottedMembers(voters(in));
                        m.setGroupMembersView(in.u8() == 0 ? null : view(in.blob(1 << 16)));
                        yield m.setQuerySequenceNumber(in.i64())
                                .setFlowControlSequenceNumber(in.i64())
                                .build();
                    }
                    case 5 ->
                            MODEL_FACTORY
                                    .createInstallSnapshotResponseBuilder()
                                    .setGroupId(GROUP_ID)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setSnapshotIndex(in.i64())
                                    .setRequestedSnapshotChunkIndex(in.i32())
                                    .setQuerySequenceNumber(in.i64())
                                    .setFlowControlSequenceNumber(in.i64())
                                    .build();
                    case 6 ->
                            MODEL_FACTORY
                                    .createPreVoteRequestBuilder()
                                    .setGroupId(GROUP_ID)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setLastLogTerm(in.i32())
                                    .setLastLogIndex(in.i64())
                                    .build();
                    case 7 ->
                            MODEL_FACTORY
                                    .createPreVoteResponseBuilder()
                                    .setGroupId(GROUP_ID)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setGranted(in.u8() != 0)
                                    .build();
                    case 8 ->
                            MODEL_FACTORY
                                    .createVoteRequestBuilder()
                                    .setGroupId(GROUP_ID)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setLastLogTerm(in.i32())
                                    .setLastLogIndex(in.i64())
                                    .setSticky(in.u8() != 0)
                                    .build();
                    case 9 ->
                            MODEL_FACTORY
                                    .createVoteResponseBuilder()
                                    .setGroupId(GROUP_ID)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setGranted(in.u8() != 0)
                                    .build();
                    case 10 ->
                            MODEL_FACTORY
                                    .createTriggerLeaderElectionRequestBuilder()
                                    .setGroupId(GROUP_ID)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setLastLogTerm(in.i32())
                                    .setLastLogIndex(in.i64())
                                    .build();
                    default -> throw in.malformed("no message is of kind " + kind);
                };
        in.requireEnd();
        return message;
    }

    static byte[] entry(LogEntry entry) {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer().u8(VERSION).i64(entry.getIndex()).i32(entry.getTerm());
        Object operation = entry.getOperation();
        if (operation instanceof byte[] bytes) {
            out.u8(1).blob(bytes);
        } else if (operation instanceof UpdateRaftGroupMembersOp op) {
            out.u8(2);
            voters(out, op.getMembers());
            voters(out, op.getVotingMembers());
            voter(out, op.getEndpoint());
            out.text(op.getMode().name());
        } else {
            throw new IllegalArgumentException("no entry holds " + operation);
        }
        return out.toByteArray();
    }

    static LogEntry entry(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("log entry", bytes);
        in.requireVersion(VERSION);
        var entry = MODEL_FACTORY.createLogEntryBuilder().setIndex(in.i64()).setTerm(in.i32());
        int kind = in.u8();
        if (kind == 1) {
            entry.setOperation(in.blob(PeerTransport.MAX_FRAME_BYTES));
        } else if (kind == 2) {
            var op =
                    MODEL_FACTORY
                            .createUpdateRaftGroupMembersOpBuilder()
                            .setMembers(voters(in))
                            .setVotingMembers(voters(in))
                            .setEndpoint(voter(in));
            String mode = in.text(64);
            for (MembershipChangeMode known : MembershipChangeMode.values()) {
                if (known.name().equals(mode)) {
                    op.setMode(known);
                    mode = null;
                    break;
                }
            }
            if (mode != null) {
                throw in.malformed("no change of voters is called " + mode);
            }
            entry.setOperation(op.build());
        } else {
            throw in.malformed("no log entry is of kind " + kind);
        }
        in.requireEnd();
        return entry.build();
    }

    static byte[] chunk(SnapshotChunk chunk) {
        return new BinaryCodec.Writer()
                .u8(VERSION)
                .i64(chunk.getIndex())
                .i32(chunk.getTerm())
                .i32(chunk.getSnapshotChunkIndex())
                .i32(chunk.getSnapshotChunkCount())
                .blob(view(chunk.getGroupMembersView()))
                .blob((byte[]) chunk.getOperation())
                .toByteArray();
    }

    static SnapshotChunk chunk(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("snapshot chunk", bytes);
        in.requireVersion(VERSION);
        SnapshotChunk chunk =
                MODEL_FACTORY
                        .createSnapshotChunkBuilder()
                        .setIndex(in.i64())
                        .setTerm(in.i32())
                        .setSnapshotChunkIndex(in.i32())
                        .setSnapshotChunkCount(in.i32())
                        .setGroupMembersView(view(in.blob(1 << 16)))
                        .setOperation(in.blob(PeerTransport.MAX_FRAME_BYTES))
                        .build();
        in.requireEnd();
        return chunk;
    }

    static byte[] view(RaftGroupMembersView view) {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION).i64(view.getLogIndex());
        voters(out, view.getMembers());
        voters(out, view.getVotingMembers());
        return out.toByteArray();
    }

    static RaftGroupMembersView view(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("list of voters", bytes);
        in.requireVersion(VERSION);
        RaftGroupMembersView view =
                MODEL_FACTORY
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(in.i64())
                        .setMembers(voters(in))
                        .setVotingMembers(voters(in))
                        .build();
        in.requireEnd();
        return view;
    }

    private static void voters(BinaryCodec.Writer out, Collection<RaftEndpoint> voters) {
        out.i32(voters.size());
        voters.forEach(voter -> voter(out, voter));
    }

    private static Collection<RaftEndpoint> voters(BinaryCodec.Reader in) {
        Collection<RaftEndpoint> voters = new LinkedHashSet<>();
        for (int left = in.count(8); left > 0; left--) {
            voters.add(voter(in));
        }
        return voters;
    }

    static void voter(BinaryCodec.Writer out, RaftEndpoint endpoint) {
        Voter voter = (Voter) endpoint;
        out.i32(voter.member()).i32(voter.generation());
    }

    static Voter voter(BinaryCodec.Reader in) {
        return new Voter(in.i32(), in.i32());
    }
}
