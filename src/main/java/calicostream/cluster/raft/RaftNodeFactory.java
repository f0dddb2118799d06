// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.Command;
import calicostream.cluster.PeerTransport;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.util.ArrayList;
import java.util.Optional;

/** Builds the consensus library's node for a voter. Stateless. */
final class RaftNodeFactory {
    /** Entries of one append: with the largest commands they take half a frame. */
    private static final int APPEND_BATCH_ENTRIES =
            PeerTransport.MAX_FRAME_BYTES / (2 * Command.MAX_BODY_BYTES) / 2;

    /** The least election time-out, in the library's milliseconds; see {@link RaftExecutor}. */
    private static final int MIN_ELECTION_TIMEOUT_LIBRARY_MILLIS = 100;

    private static final int MIN_PENDING_LOG_ENTRIES = 128;

    private RaftNodeFactory() {}

    static RaftNode create(
            VoterNode.Settings settings,
            VoterNode.Environment environment,
            Optional<RestoredRaftState> restored,
            RaftStore store,
            StateMachine stateMachine,
            Transport transport) {
        RaftExecutor executor =
                new RaftExecutor(environment.eventLoop(), settings.heartbeatMillis());
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setConfig(config(settings, executor))
                        .setExecutor(executor)
                        .setClock(executor)
                        .setRandom(environment.random())
                        .setStore(store)
                        .setStateMachine(stateMachine)
                        .setTransport(transport)
                        .setModelFactory(RaftMessageCodec.MODEL_FACTORY);
        if (restored.isPresent()) {
            builder.setRestoredState(restored.get());
        } else {
            builder.setLocalEndpoint(settings.self())
                    .setInitialGroupMembers(new ArrayList<RaftEndpoint>(settings.initialVoters()));
        }
        return builder.build();
    }

    /** Heartbeats are one library second apart, see {@link RaftExecutor}. */
    private static RaftConfig config(VoterNode.Settings settings, RaftExecutor executor) {
        return RaftConfig.newBuilder()
                .setLeaderHeartbeatPeriodSecs(1)
                .setLeaderHeartbeatTimeoutSecs(settings.missedHeartbeats())
                .setAppendEntriesRequestBatchSize(APPEND_BATCH_ENTRIES)
                .setLeaderElectionTimeoutMillis(
                        Math.max(
                                MIN_ELECTION_TIMEOUT_LIBRARY_MILLIS,
                                executor.toLibraryMillis(settings.electionMillis())))
                .setCommitCountToTakeSnapshot(settings.snapshotIntervalEntries())
                .setMaxPendingLogEntryCount(
                        Math.max(2 * settings.proposalQueueLimit(), MIN_PENDING_LOG_ENTRIES))
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
    }
}
