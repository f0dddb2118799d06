// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

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

/** The kinds of consensus messages with their numbers on the wire, which never change. */
enum RaftMessageKind {
    APPEND_ENTRIES_REQUEST(1, AppendEntriesRequest.class),
    APPEND_ENTRIES_SUCCESS_RESPONSE(2, AppendEntriesSuccessResponse.class),
    APPEND_ENTRIES_FAILURE_RESPONSE(3, AppendEntriesFailureResponse.class),
    INSTALL_SNAPSHOT_REQUEST(4, InstallSnapshotRequest.class),
    INSTALL_SNAPSHOT_RESPONSE(5, InstallSnapshotResponse.class),
    PRE_VOTE_REQUEST(6, PreVoteRequest.class),
    PRE_VOTE_RESPONSE(7, PreVoteResponse.class),
    VOTE_REQUEST(8, VoteRequest.class),
    VOTE_RESPONSE(9, VoteResponse.class),
    TRIGGER_LEADER_ELECTION_REQUEST(10, TriggerLeaderElectionRequest.class);

    private static final RaftMessageKind[] KINDS = values();

    private final int wireNumber;
    private final Class<? extends RaftMessage> type;

    RaftMessageKind(int wireNumber, Class<? extends RaftMessage> type) {
        this.wireNumber = wireNumber;
        this.type = type;
    }

    int wireNumber() {
        return wireNumber;
    }

    /**
     * The kind of this message.
     *
     * @throws IllegalArgumentException if the library sends a message that this protocol lacks
     */
    static RaftMessageKind of(RaftMessage message) {
        for (RaftMessageKind kind : KINDS) {
            if (kind.type.isInstance(message)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no message kind for " + message);
    }

    /** The kind with this number; null if there is none. */
    static RaftMessageKind ofWireNumber(int wireNumber) {
        for (RaftMessageKind kind : KINDS) {
            if (kind.wireNumber == wireNumber) {
                return kind;
            }
        }
        return null;
    }
}
