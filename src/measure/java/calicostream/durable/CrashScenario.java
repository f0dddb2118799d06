// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.StateLossDetector.PeerObservation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A member that writes at random, from one seed, to a log on two faulty disks, with a separate
 * account of what it wrote. After the log was opened again, the account tells whether all that was
 * synced is there and nothing that was never written.
 */
final class CrashScenario {
    static final LogIdentity IDENTITY = new LogIdentity("site", "a");
    static final String NOTE_NAME = "note";

    private static final int SEGMENT_BYTES = 400;
    private static final long SLOW_SYNC_NANOS = 1_000_000_000L;

    final FaultyDisk.SimulatedMachine machine;
    final FaultyDisk logDisk;
    final FaultyDisk markerDisk;
    final Random random;
    DurableLog durableLog;

    /** What peer b observed of this member; peer c observed nothing. */
    PeerObservation peerObservation = PeerObservation.NONE;

    /** States that may be found: the first was synced, each further one is a call later. */
    private final List<ExpectedState> candidateStates =
            new ArrayList<>(List.of(ExpectedState.EMPTY));

    /** Every state that was ever synced. */
    private final List<ExpectedState> acknowledgedStates =
            new ArrayList<>(List.of(ExpectedState.EMPTY));

    /** A snapshot whose chunks are complete and not synced yet, or 0. */
    private long pendingSnapshotIndex;

    CrashScenario(long seed) {
        machine = new FaultyDisk.SimulatedMachine(seed * 31 + 7);
        logDisk = new FaultyDisk("log", machine);
        markerDisk = new FaultyDisk("marks", machine);
        random = new Random(seed);
    }

    /** Opens the log, and has a new member admitted. */
    void open() throws DurableException {
        openWithoutAdmission();
        if (durableLog.recoveredState().localState().votingStatus()
                == StateLossDetector.VotingStatus.NEW) {
            durableLog.admit();
        }
    }

    void openWithoutAdmission() throws DurableException {
        durableLog = DurableLog.open(logDisk, markerDisk, IDENTITY, options());
    }

    void openWithDefaultOptions() throws DurableException {
        durableLog = DurableLog.open(logDisk, markerDisk, IDENTITY, LogOptions.DEFAULT);
    }

    /** Sets the log aside and begins an empty one. */
    void startOver() throws DurableException {
        durableLog = DurableLog.open(logDisk, markerDisk, IDENTITY, options().withStartOver());
    }

    private LogOptions options() {
        return new LogOptions(SEGMENT_BYTES, SLOW_SYNC_NANOS, false, () -> machine.nowNanos);
    }

    StateLossDetector.Assessment assess() {
        return StateLossDetector.assess(
                durableLog.recoveredState().localState(),
                true,
                Set.of("b", "c"),
                Map.of("b", peerObservation, "c", PeerObservation.NONE));
    }

    private ExpectedState currentState() {
        return candidateStates.get(candidateStates.size() - 1);
    }

    /** Everything was synced, and peer b was told so. */
    private void acknowledge() {
        ExpectedState current = currentState();
        candidateStates.clear();
        candidateStates.add(current);
        acknowledgedStates.add(current);
        long voteTerm = current.vote().equals("b") ? current.term() : peerObservation.voteTerm();
        peerObservation =
                new PeerObservation(
                        durableLog.recoveredState().localState().incarnation(),
                        current.term(),
                        current.lastIndex(),
                        voteTerm,
                        false,
                        true);
    }

    /** To be called after the caller has synced the log. */
    void acknowledgeAll() {
        if (pendingSnapshotIndex > 0) {
            candidateStates.add(currentState().withSnapshot(pendingSnapshotIndex));
        }
        pendingSnapshotIndex = 0;
        acknowledge();
    }

    void close() {
        durableLog.close();
        acknowledgeAll();
    }

    /** After the log was opened and has {@code state}: all of it has been written again. */
    void resumeFrom(ExpectedState state) {
        candidateStates.clear();
        candidateStates.add(state);
        pendingSnapshotIndex = 0;
        acknowledge();
    }

    void performRandomSteps(int steps) throws DurableException {
        for (int i = 0; i < steps; i++) {
            performRandomStep();
        }
    }

    private void performRandomStep() throws DurableException {
        ExpectedState current = currentState();
        int draw = random.nextInt(100);
        if (draw < 45) {
            appendEntry();
        } else if (draw < 57) {
            enterNextTerm(current);
        } else if (draw < 62) {
            saveNote(current);
        } else if (draw < 68
                && current.lastIndex() > current.newestSnapshotIndex()
                && pendingSnapshotIndex == 0) {
            truncateSuffix(current);
        } else if (draw < 76 && pendingSnapshotIndex == 0) {
            saveSnapshotChunks(current);
        } else if (draw < 80 && current.newestSnapshotIndex() > 0) {
            completePendingSnapshot();
            durableLog.truncateUntil(currentState().newestSnapshotIndex());
        } else {
            completePendingSnapshot();
            durableLog.sync();
            acknowledge();
        }
    }

    private void appendEntry() throws DurableException {
        completePendingSnapshot();
        String text = "e" + random.nextInt(1000) + "-".repeat(random.nextInt(60));
        ExpectedState next = currentState().withEntry(text);
        candidateStates.add(next);
        durableLog.appendEntry(next.lastIndex(), next.term(), text.getBytes());
    }

    private void enterNextTerm(ExpectedState current) throws DurableException {
        ExpectedState next = current.withTermAndVote(current.term() + 1, randomVote());
        candidateStates.add(next);
        durableLog.saveTermAndVote(next.term(), next.vote());
    }

    private String randomVote() {
        if (random.nextInt(3) == 0) {
            return "";
        }
        return random.nextBoolean() ? "b" : "c";
    }

    private void saveNote(ExpectedState current) throws DurableException {
        ExpectedState next = current.withNote("n" + random.nextInt(100));
        candidateStates.add(next);
        durableLog.saveMetadata(NOTE_NAME, next.note().getBytes());
    }

    /** Only a later leader truncates what was acknowledged, so the term grows first. */
    private void truncateSuffix(ExpectedState current) throws DurableException {
        ExpectedState later = current.withTermAndVote(current.term() + 1, "");
        candidateStates.add(later);
        durableLog.saveTermAndVote(later.term(), "");
        long newestSnapshotIndex = current.newestSnapshotIndex();
        int entriesAboveSnapshot = (int) (current.lastIndex() - newestSnapshotIndex);
        ExpectedState next =
                later.truncatedFrom(newestSnapshotIndex + 1 + random.nextInt(entriesAboveSnapshot));
        candidateStates.add(next);
        durableLog.truncateFrom(next.lastIndex() + 1);
    }

    private void saveSnapshotChunks(ExpectedState current) throws DurableException {
        long newestSnapshotIndex = current.newestSnapshotIndex();
        int choices = (int) (current.lastIndex() - newestSnapshotIndex + 1);
        long index = newestSnapshotIndex + 1 + random.nextInt(choices);
        if (index > current.lastIndex()) {
            index = current.lastIndex() + 1 + random.nextInt(5);
        }
        int chunkCount = 1 + random.nextInt(3);
        boolean isComplete = random.nextInt(5) > 0;
        int firstPosition = isComplete ? 0 : 1;
        for (int position = chunkCount - 1; position >= firstPosition; position--) {
            durableLog.saveSnapshotChunk(
                    index, 1, position, chunkCount, snapshotChunk(index, position));
        }
        if (isComplete) {
            pendingSnapshotIndex = index;
        }
    }

    /** A complete snapshot counts from the next call that syncs. */
    private void completePendingSnapshot() throws DurableException {
        if (pendingSnapshotIndex == 0) {
            return;
        }
        candidateStates.add(currentState().withSnapshot(pendingSnapshotIndex));
        durableLog.sync();
        pendingSnapshotIndex = 0;
        acknowledge();
    }

    /** The content of every chunk that any scenario writes. */
    static byte[] snapshotChunk(long index, int position) {
        return ("snapshot " + index + " chunk " + position).getBytes();
    }

    /**
     * The candidate that was found, or null if the log has none of them.
     *
     * @param allowOlderSnapshot whether the newest snapshot may have been skipped
     */
    ExpectedState matchingState(boolean allowOlderSnapshot) {
        RecoveredState recovered = durableLog.recoveredState();
        long newest = recovered.snapshot() == null ? 0 : recovered.snapshot().index();
        for (int i = candidateStates.size() - 1; i >= 0; i--) {
            ExpectedState state = candidateStates.get(i);
            boolean isSnapshotAllowed = allowOlderSnapshot || state.newestSnapshotIndex() == newest;
            if (isSnapshotAllowed && state.matches(recovered)) {
                return state;
            }
        }
        return null;
    }

    /** Whether the log has a state that was synced at any time. */
    boolean wasAcknowledged() {
        RecoveredState recovered = durableLog.recoveredState();
        return acknowledgedStates.stream().anyMatch(state -> state.matches(recovered));
    }

    ExpectedState lastAcknowledgedState() {
        return acknowledgedStates.get(acknowledgedStates.size() - 1);
    }

    /** What was found and what should have been; for the message of a failed trial. */
    String mismatch() {
        return durableLog.recoveredState() + " is none of " + candidateStates;
    }

    void cutPower(FaultyDisk.PowerCut powerCut) {
        logDisk.cutPower(powerCut);
        markerDisk.cutPower(powerCut);
    }

    void killProcess() {
        logDisk.killProcess();
        markerDisk.killProcess();
    }
}
