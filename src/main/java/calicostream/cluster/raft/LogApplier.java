// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.CommandOutcome;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Applies committed log entries to the {@link ReplicatedState}. After the first exception nothing
 * more is applied and the voter is told to stop, before its copy can differ from the others. The
 * voter's thread.
 */
final class LogApplier implements StateMachine {
    private static final int SNAPSHOT_CHUNK_BYTES = 256 * 1024;

    /**
     * A read of the state.
     *
     * @param stateMachine which one is asked; empty to learn only how far the log is applied
     */
    record StateQuery(String stateMachine, byte[] question) {
        static final StateQuery INDEX_ONLY = new StateQuery("", new byte[0]);

        boolean isIndexOnly() {
            return stateMachine.isEmpty();
        }
    }

    private final int member;
    private final ReplicatedState state;
    private final Random random;
    private final Consumer<Throwable> onFailure;
    private long epochNonce;
    private Throwable failure;

    LogApplier(int member, ReplicatedState state, Random random, Consumer<Throwable> onFailure) {
        this.member = member;
        this.state = state;
        this.random = random;
        this.onFailure = onFailure;
    }

    /** Whether this process, not an earlier one of this member, began the current epoch. */
    boolean startedCurrentEpoch() {
        ReplicatedEntry.EpochStart leader = state.epochStart();
        return epochNonce != 0 && leader.nonce() == epochNonce && leader.member() == member;
    }

    @Override
    public Object runOperation(long index, Object operation) {
        if (failure != null) {
            throw new IllegalStateException("an entry could not be applied before", failure);
        }
        try {
            if (operation instanceof StateQuery query) {
                return answer(query);
            }
            return state.apply(index, (byte[]) operation);
        } catch (RuntimeException | Error e) {
            fail(e);
            throw e;
        }
    }

    private CommandOutcome answer(StateQuery query) {
        byte[] answer =
                query.isIndexOnly() ? new byte[0] : state.query(query.stateMachine, query.question);
        return new CommandOutcome(CommandOutcome.Kind.ACCEPTED, state.appliedIndex(), "", answer);
    }

    private void fail(Throwable reason) {
        failure = reason;
        onFailure.accept(reason);
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        byte[] snapshot = state.snapshot();
        for (int start = 0; start < snapshot.length; start += SNAPSHOT_CHUNK_BYTES) {
            int end = Math.min(snapshot.length, start + SNAPSHOT_CHUNK_BYTES);
            chunks.accept(Arrays.copyOfRange(snapshot, start, end));
        }
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        try {
            ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
            chunks.forEach(chunk -> snapshot.writeBytes((byte[]) chunk));
            state.restore(snapshot.toByteArray());
        } catch (RuntimeException | Error e) {
            fail(e);
            throw e;
        }
    }

    @Override
    public Object getNewTermOperation() {
        do {
            epochNonce = random.nextLong();
        } while (epochNonce == 0);
        return new ReplicatedEntry.EpochStart(member, epochNonce).encode();
    }
}
