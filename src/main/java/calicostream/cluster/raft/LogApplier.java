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
 * Steps {@link ReplicatedState} as the library commits entries. The first exception out of it ends
 * this copy: nothing more is applied, and the voter is told to stop before the copies differ.
 */
final class LogApplier implements StateMachine {
    private static final int CHUNK = 256 * 1024;

    /** A read; {@code machine} is "" to hear just how far the log was. */
    record StateQuery(String machine, byte[] question) {}

    private final int member;
    private final ReplicatedState state;
    private final Random random;
    private final Consumer<Throwable> failed;
    private long nonce;
    private Throwable broken;

    LogApplier(int member, ReplicatedState state, Random random, Consumer<Throwable> failed) {
        this.member = member;
        this.state = state;
        this.random = random;
        this.failed = failed;
    }

    /** The present era was begun by this voter in this life. */
    boolean startedCurrentEra() {
        return nonce != 0
                && state.epochStart().nonce() == nonce
                && state.epochStart().member() == member;
    }

    @Override
    public Object runOperation(long index, Object operation) {
        if (broken != null) {
            throw new IllegalStateException("this copy has ended", broken);
        }
        try {
            if (operation instanceof StateQuery question) {
                byte[] answer =
                        question.machine.isEmpty()
                                ? new byte[0]
                                : state.query(question.machine, question.question);
                return new CommandOutcome(
                        CommandOutcome.Kind.ACCEPTED, state.appliedIndex(), "", answer);
            }
            return state.apply(index, (byte[]) operation);
        } catch (RuntimeException | Error e) {
            broken = e;
            failed.accept(e);
            throw e;
        }
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        byte[] whole = state.snapshot();
        for (int at = 0; at < whole.length; at += CHUNK) {
            chunks.accept(Arrays.copyOfRange(whole, at, Math.min(whole.length, at + CHUNK)));
        }
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        try {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            chunks.forEach(chunk -> whole.writeBytes((byte[]) chunk));
            state.restore(whole.toByteArray());
        } catch (RuntimeException | Error e) {
            broken = e;
            failed.accept(e);
            throw e;
        }
    }

    @Override
    public Object getNewTermOperation() {
        do {
            nonce = random.nextLong();
        } while (nonce == 0);
        return new ReplicatedEntry.EpochStart(member, nonce).encode();
    }
}
