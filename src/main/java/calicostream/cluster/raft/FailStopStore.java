// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/**
 * A store whose first failure stops the voter. What a failed sync left on the disk is not known, so
 * nothing may be acknowledged after it, not even if a later call would succeed. The voter's thread.
 */
final class FailStopStore implements RaftStore {
    @FunctionalInterface
    private interface StoreCall {
        void run() throws IOException;
    }

    private final RaftStore store;
    private final LogTermIndex terms;
    private final Consumer<Throwable> onFailure;
    private IOException failure;

    /**
     * Creates a store over another one.
     *
     * @param terms is kept in step with the entries of the log
     * @param onFailure called once, with the first failure
     */
    FailStopStore(RaftStore store, LogTermIndex terms, Consumer<Throwable> onFailure) {
        this.store = store;
        this.terms = terms;
        this.onFailure = onFailure;
    }

    private void run(StoreCall call) throws IOException {
        if (failure != null) {
            throw failure;
        }
        try {
            call.run();
        } catch (IOException e) {
            failure = e;
            onFailure.accept(e);
            throw e;
        } catch (RuntimeException e) {
            failure = new IOException(e);
            onFailure.accept(e);
            throw e;
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        run(() -> store.persistAndFlushLocalEndpoint(self));
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initial)
            throws IOException {
        run(() -> store.persistAndFlushInitialGroupMembers(initial));
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        run(() -> store.persistAndFlushTerm(term));
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        run(() -> store.persistLogEntries(entries));
        terms.append(entries);
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        run(() -> store.persistSnapshotChunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        run(() -> store.truncateLogEntriesFrom(index));
        terms.truncateFrom(index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        run(() -> store.truncateLogEntriesUntil(index));
        terms.truncateUntil(index);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        run(() -> store.deleteSnapshotChunks(index, count));
    }

    @Override
    public void flush() throws IOException {
        run(store::flush);
    }
}
