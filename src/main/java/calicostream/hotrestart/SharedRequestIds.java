// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

import calicostream.core.PeerRequestIds;
import calicostream.hotrestart.RequestIdTable.State;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shares request ids by the tables of the slot file. Without living peers nothing is written, and
 * the tables are read only as long as an entry that a peer has left may not have expired. Where the
 * file fails, this process goes on by what it knows itself. One thread uses an object.
 */
final class SharedRequestIds implements PeerRequestIds {
    private static final Logger LOG = LoggerFactory.getLogger(SharedRequestIds.class);

    /** The longest life of an entry, and that of an id whose request is open. */
    static final long MAX_TIME_TO_LIVE_MILLIS = 600_000;

    private static final int MICROS_PER_MILLI = 1000;
    private static final int NO_SLOT = -1;
    private static final Set<State> ANY_STATE = Set.of(State.values());
    private static final Set<State> UNREPEATABLE_ONLY = Set.of(State.UNREPEATABLE);

    private final int ownSlot;
    private final RequestIdTable table;
    private final LongSupplier unixMillis;
    private final Set<String> openIds = new HashSet<>();

    /** Ids that this process has written to its table as open. */
    private final Set<String> publishedIds = new HashSet<>();

    private boolean hasPeers;
    private long readUntilMillis;
    private String lastFailure = "";

    /**
     * @param unixMillis the wall clock, in milliseconds since 1970
     * @throws IOException where the file can't be used
     */
    SharedRequestIds(ProcessSlotFile file, LongSupplier unixMillis) throws IOException {
        this.unixMillis = unixMillis;
        ownSlot = file.ownSlot();
        table = new RequestIdTable(file);
        if (table.isPresent()) {
            extendReading();
        }
    }

    private void extendReading() {
        readUntilMillis = unixMillis.getAsLong() + MAX_TIME_TO_LIVE_MILLIS;
    }

    /** Sets whether other processes live; called at each poll of the slots. */
    void setHasPeers(boolean newHasPeers) {
        hasPeers = newHasPeers;
        if (hasPeers) {
            extendReading();
        }
    }

    /** Publishes the ids of all open requests, for a process that has just joined. */
    void publishOpen() {
        openIds.forEach(this::publishOpen);
    }

    private void publishOpen(String requestId) {
        publishedIds.add(requestId);
        put(requestId, State.OPEN, MAX_TIME_TO_LIVE_MILLIS);
    }

    /** Publishes before it reads: of two processes that do so at once, one sees the other's. */
    @Override
    public boolean tryOpen(String requestId) {
        if (mayHaveEntries()) {
            return tryOpenInTables(requestId);
        }
        openIds.add(requestId);
        return true;
    }

    private boolean tryOpenInTables(String requestId) {
        RequestIdHash hash = RequestIdHash.of(requestId);
        if (isIn(ownSlot, hash, ANY_STATE)) {
            return false; // Left by an earlier process of the slot.
        }
        openIds.add(requestId);
        if (hasPeers) {
            publishOpen(requestId);
        }
        if (isInAnySlot(hash, ANY_STATE, ownSlot)) {
            close(requestId);
            return false;
        }
        return true;
    }

    @Override
    public void close(String requestId) {
        openIds.remove(requestId);
        if (publishedIds.remove(requestId)) {
            try {
                table.remove(RequestIdHash.of(requestId), State.OPEN);
            } catch (IOException e) {
                logOnce(e);
            }
        }
    }

    @Override
    public void addUnrepeatable(String requestId, long timeToLiveMicros) {
        if (hasPeers) {
            long millis = timeToLiveMicros / MICROS_PER_MILLI;
            put(requestId, State.UNREPEATABLE, Math.min(millis, MAX_TIME_TO_LIVE_MILLIS));
        }
    }

    @Override
    public boolean isUnrepeatable(String requestId) {
        return mayHaveEntries()
                && isInAnySlot(RequestIdHash.of(requestId), UNREPEATABLE_ONLY, NO_SLOT);
    }

    private boolean mayHaveEntries() {
        return hasPeers || unixMillis.getAsLong() < readUntilMillis;
    }

    private boolean isInAnySlot(RequestIdHash hash, Set<State> states, int exceptSlot) {
        for (int slot = 0; slot < ProcessSlotFile.SLOT_COUNT; slot++) {
            if (slot != exceptSlot && isIn(slot, hash, states)) {
                return true;
            }
        }
        return false;
    }

    private boolean isIn(int slot, RequestIdHash hash, Set<State> states) {
        try {
            return table.contains(slot, hash, states, unixMillis.getAsLong());
        } catch (IOException e) {
            logOnce(e);
            return false;
        }
    }

    private void put(String requestId, State state, long timeToLiveMillis) {
        long expiresAt = unixMillis.getAsLong() + timeToLiveMillis;
        try {
            table.put(RequestIdHash.of(requestId), state, expiresAt);
        } catch (IOException e) { // A full disk, most likely.
            logOnce(e);
        }
    }

    private void logOnce(IOException failure) {
        if (!lastFailure.equals(failure.toString())) {
            lastFailure = failure.toString();
            LOG.warn("request ids are not shared with other processes: {}", lastFailure);
        }
    }
}
