// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.cluster.PeerTransport;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.util.Collection;
import java.util.LinkedHashSet;

/**
 * Encodes log entries, snapshot chunks and member lists, as they are in messages and on the disk,
 * and decodes them again. Stateless, any thread; each decoder throws {@link
 * ClusterException.Malformed} for bytes that no encoder here made.
 */
final class RaftLogCodec {
    /** A member list is far smaller; guards against a length that was not written here. */
    static final int MAX_MEMBERS_BYTES = 1 << 16;

    private static final RaftModelFactory MODEL_FACTORY = RaftMessageCodec.MODEL_FACTORY;
    private static final int VERSION = 1;
    private static final int COMMAND_ENTRY = 1;
    private static final int MEMBERSHIP_ENTRY = 2;
    private static final int VOTER_BYTES = 8;
    private static final int MAX_MODE_NAME_BYTES = 64;

    private RaftLogCodec() {}

    static byte[] encodeEntry(LogEntry entry) {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer().u8(VERSION).i64(entry.getIndex()).i32(entry.getTerm());
        Object operation = entry.getOperation();
        if (operation instanceof byte[] command) {
            out.u8(COMMAND_ENTRY).blob(command);
        } else if (operation instanceof UpdateRaftGroupMembersOp change) {
            out.u8(MEMBERSHIP_ENTRY);
            writeVoters(out, change.getMembers());
            writeVoters(out, change.getVotingMembers());
            writeVoter(out, change.getEndpoint());
            out.text(change.getMode().name());
        } else {
            throw new IllegalArgumentException("no entry holds " + operation);
        }
        return out.toByteArray();
    }

    static LogEntry decodeEntry(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("log entry", bytes);
        in.requireVersion(VERSION);
        var entry = MODEL_FACTORY.createLogEntryBuilder().setIndex(in.i64()).setTerm(in.i32());
        int kind = in.u8();
        switch (kind) {
            case COMMAND_ENTRY -> entry.setOperation(in.blob(PeerTransport.MAX_FRAME_BYTES));
            case MEMBERSHIP_ENTRY -> entry.setOperation(readMembershipChange(in));
            default -> throw in.malformed("no log entry is of kind " + kind);
        }
        in.requireEnd();
        return entry.build();
    }

    private static UpdateRaftGroupMembersOp readMembershipChange(BinaryCodec.Reader in) {
        return MODEL_FACTORY
                .createUpdateRaftGroupMembersOpBuilder()
                .setMembers(readVoters(in))
                .setVotingMembers(readVoters(in))
                .setEndpoint(readVoter(in))
                .setMode(readMode(in))
                .build();
    }

    private static MembershipChangeMode readMode(BinaryCodec.Reader in) {
        String name = in.text(MAX_MODE_NAME_BYTES);
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            if (mode.name().equals(name)) {
                return mode;
            }
        }
        throw in.malformed("no change of voters is called " + name);
    }

    static byte[] encodeChunk(SnapshotChunk chunk) {
        return new BinaryCodec.Writer()
                .u8(VERSION)
                .i64(chunk.getIndex())
                .i32(chunk.getTerm())
                .i32(chunk.getSnapshotChunkIndex())
                .i32(chunk.getSnapshotChunkCount())
                .blob(encodeMembers(chunk.getGroupMembersView()))
                .blob((byte[]) chunk.getOperation())
                .toByteArray();
    }

    static SnapshotChunk decodeChunk(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("snapshot chunk", bytes);
        in.requireVersion(VERSION);
        SnapshotChunk chunk =
                MODEL_FACTORY
                        .createSnapshotChunkBuilder()
                        .setIndex(in.i64())
                        .setTerm(in.i32())
                        .setSnapshotChunkIndex(in.i32())
                        .setSnapshotChunkCount(in.i32())
                        .setGroupMembersView(decodeMembers(in.blob(MAX_MEMBERS_BYTES)))
                        .setOperation(in.blob(PeerTransport.MAX_FRAME_BYTES))
                        .build();
        in.requireEnd();
        return chunk;
    }

    static byte[] encodeMembers(RaftGroupMembersView members) {
        BinaryCodec.Writer out = new BinaryCodec.Writer().u8(VERSION).i64(members.getLogIndex());
        writeVoters(out, members.getMembers());
        writeVoters(out, members.getVotingMembers());
        return out.toByteArray();
    }

    static RaftGroupMembersView decodeMembers(byte[] bytes) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("list of voters", bytes);
        in.requireVersion(VERSION);
        RaftGroupMembersView members =
                MODEL_FACTORY
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(in.i64())
                        .setMembers(readVoters(in))
                        .setVotingMembers(readVoters(in))
                        .build();
        in.requireEnd();
        return members;
    }

    static void writeVoters(BinaryCodec.Writer out, Collection<RaftEndpoint> voters) {
        out.i32(voters.size());
        voters.forEach(voter -> writeVoter(out, voter));
    }

    static Collection<RaftEndpoint> readVoters(BinaryCodec.Reader in) {
        Collection<RaftEndpoint> voters = new LinkedHashSet<>();
        for (int left = in.count(VOTER_BYTES); left > 0; left--) {
            voters.add(readVoter(in));
        }
        return voters;
    }

    static void writeVoter(BinaryCodec.Writer out, RaftEndpoint endpoint) {
        Voter voter = (Voter) endpoint;
        out.i32(voter.member()).i32(voter.generation());
    }

    static Voter readVoter(BinaryCodec.Reader in) {
        return new Voter(in.i32(), in.i32());
    }
}
