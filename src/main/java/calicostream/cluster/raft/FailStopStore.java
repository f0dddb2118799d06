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
 * A store whose first failure stops the voter: what a failed sync left on a disk is not known, so
 * nothing that was to be kept may be acknowledged after it, not even if a later call would succeed.
 */
final class FailStopStore implements RaftStore {
    private interface Call {
        void run() throws IOException;
    }

    private final RaftStore store;
    private final Consumer<Throwable> failed;
    private final LogTermIndex terms;
    private IOException failure;

    /**
     * @param terms follows what is in the log
     */
    FailStopStore(RaftStore store, LogTermIndex terms, Consumer<Throwable> failed) {
        this.store = store;
        this.terms = terms;
        this.failed = failed;
    }

    private void call(Call call) throws IOException {
        if (failure != null) {
            throw failure;
        }
        try {
            call.run();
        } catch (IOException e) {
            failure = e;
            failed.accept(e);
            throw e;
        } catch (RuntimeException e) {
            failure = new IOException(e);
            failed.accept(e);
            throw e;
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        call(() -> store.persistAndFlushLocalEndpoint(self));
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView first) throws IOException {
        call(() -> store.persistAndFlushInitialGroupMembers(first));
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        call(() -> store.persistAndFlushTerm(term));
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        call(() -> store.persistLogEntries(entries));
        terms.append(entries);
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        call(() -> store.persistSnapshotChunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        call(() -> store.truncateLogEntriesFrom(index));
        terms.truncateFrom(index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        call(() -> store.truncateLogEntriesUntil(index));
        terms.truncateUntil(index);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        call(() -> store.deleteSnapshotChunks(index, count));
    }

    @Override
    public void flush() throws IOException {
        call(store::flush);
    }
}
