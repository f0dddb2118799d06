// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.StateLossDetector.PeerObservation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A member that writes at random from one seed on two faulty disks, and a plain account of what it
 * wrote. After an opening the account says whether all that was promised is there and nothing that
 * was never written.
 */
final class CrashScenario {

    static final LogIdentity IDENTITY = new LogIdentity("site", "a");

    /** What a log says; {@code entries} are all since the last jump. */
    record ExpectedState(
            long term,
            String vote,
            String note,
            List<Long> snapshots,
            TreeMap<Long, String> entries,
            long last) {
        static final ExpectedState EMPTY =
                new ExpectedState(0, "", "", List.of(), new TreeMap<>(), 0);

        ExpectedState withTermAndVote(long newTerm, String newVote) {
            return new ExpectedState(newTerm, newVote, note, snapshots, entries, last);
        }

        ExpectedState withNote(String text) {
            return new ExpectedState(term, vote, text, snapshots, entries, last);
        }

        ExpectedState withEntry(String text) {
            TreeMap<Long, String> more = new TreeMap<>(entries);
            more.put(last + 1, text);
            return new ExpectedState(term, vote, note, snapshots, more, last + 1);
        }

        ExpectedState truncatedFrom(long index) {
            return new ExpectedState(
                    term, vote, note, snapshots, new TreeMap<>(entries.headMap(index)), index - 1);
        }

        ExpectedState withSnapshot(long index) {
            List<Long> more = new ArrayList<>(snapshots);
            more.add(index);
            boolean jump = index > last;
            return new ExpectedState(
                    term, vote, note, more, jump ? new TreeMap<>() : entries, jump ? index : last);
        }

        long newestSnapshotIndex() {
            return snapshots.isEmpty() ? 0 : snapshots.get(snapshots.size() - 1);
        }
    }

    final FaultyDisk.SimulatedMachine machine;
    final FaultyDisk logDisk;
    final FaultyDisk markerDisk;
    final Random random;
    DurableLog durableLog;

    /** The first was promised, each further one is a call later. */
    final List<ExpectedState> candidateStates = new ArrayList<>(List.of(ExpectedState.EMPTY));

    /** Every state that ever was promised. */
    final List<ExpectedState> acknowledgedStates = new ArrayList<>(List.of(ExpectedState.EMPTY));

    private long pendingSnapshotIndex;

    /** What two peers remember of it. */
    PeerObservation peerObservation = PeerObservation.NONE;

    int admitted;

    CrashScenario(long seed) {
        machine = new FaultyDisk.SimulatedMachine(seed * 31 + 7);
        logDisk = new FaultyDisk("log", machine);
        markerDisk = new FaultyDisk("marks", machine);
        random = new Random(seed);
    }

    static LogOptions options(FaultyDisk.SimulatedMachine power) {
        return new LogOptions(400, 1_000_000_000L, false, () -> power.nowNanos);
    }

    void open() throws DurableException {
        durableLog = DurableLog.open(logDisk, markerDisk, IDENTITY, options(machine));
        if (durableLog.recoveredState().localState().votingStatus()
                == StateLossDetector.VotingStatus.NEW) {
            durableLog.admit();
            admitted++;
        }
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

    private void acknowledge() {
        ExpectedState now = currentState();
        candidateStates.clear();
        candidateStates.add(now);
        acknowledgedStates.add(now);
        long voteTerm = now.vote().equals("b") ? now.term() : peerObservation.voteTerm();
        peerObservation =
                new PeerObservation(
                        durableLog.recoveredState().localState().incarnation(),
                        now.term(),
                        now.last(),
                        voteTerm,
                        false,
                        true);
    }

    /** After a sync of the caller's own. */
    void acknowledgeAll() {
        if (pendingSnapshotIndex > 0)
            candidateStates.add(currentState().withSnapshot(pendingSnapshotIndex));
        pendingSnapshotIndex = 0;
        acknowledge();
    }

    void close() {
        durableLog.close();
        acknowledgeAll();
    }

    /** After an opening that found {@code state}: all of it has been written anew and synced. */
    void resumeFrom(ExpectedState state) {
        candidateStates.clear();
        candidateStates.add(state);
        pendingSnapshotIndex = 0;
        acknowledge();
    }

    void performRandomSteps(int steps) throws DurableException {
        for (int i = 0; i < steps; i++) performRandomSteps();
    }

    private void performRandomSteps() throws DurableException {
        ExpectedState now = currentState();
        int draw = random.nextInt(100);
        if (draw < 45) {
            completePendingSnapshot();
            String text = "e" + random.nextInt(1000) + "-".repeat(random.nextInt(60));
            ExpectedState next = currentState().withEntry(text);
            candidateStates.add(next);
            durableLog.appendEntry(next.last(), now.term(), text.getBytes());
        } else if (draw < 57) {
            ExpectedState next =
                    now.withTermAndVote(
                            now.term() + 1,
                            random.nextInt(3) == 0 ? "" : random.nextBoolean() ? "b" : "c");
            candidateStates.add(next);
            durableLog.saveTermAndVote(next.term(), next.vote());
        } else if (draw < 62) {
            ExpectedState next = now.withNote("n" + random.nextInt(100));
            candidateStates.add(next);
            durableLog.saveMetadata("note", next.note().getBytes());
        } else if (draw < 68
                && now.last() > now.newestSnapshotIndex()
                && pendingSnapshotIndex == 0) {
            // What was acknowledged is cut by a later leader only.
            ExpectedState later = now.withTermAndVote(now.term() + 1, "");
            candidateStates.add(later);
            durableLog.saveTermAndVote(later.term(), "");
            ExpectedState next =
                    later.truncatedFrom(
                            now.newestSnapshotIndex()
                                    + 1
                                    + random.nextInt(
                                            (int) (now.last() - now.newestSnapshotIndex())));
            candidateStates.add(next);
            durableLog.truncateFrom(next.last() + 1);
        } else if (draw < 76 && pendingSnapshotIndex == 0) {
            snapshot(now);
        } else if (draw < 80 && now.newestSnapshotIndex() > 0) {
            completePendingSnapshot();
            durableLog.truncateUntil(currentState().newestSnapshotIndex());
        } else {
            completePendingSnapshot();
            durableLog.sync();
            acknowledge();
        }
    }

    private void snapshot(ExpectedState now) throws DurableException {
        long index =
                now.newestSnapshotIndex()
                        + 1
                        + random.nextInt((int) (now.last() - now.newestSnapshotIndex() + 1));
        if (index > now.last()) index = now.last() + 1 + random.nextInt(5);
        int of = 1 + random.nextInt(3);
        boolean whole = random.nextInt(5) > 0;
        for (int chunk = of - 1; chunk >= (whole ? 0 : 1); chunk--)
            durableLog.saveSnapshotChunk(index, 1, chunk, of, chunk(index, chunk));
        if (whole) pendingSnapshotIndex = index;
    }

    /** A whole snapshot counts from the next call that syncs. */
    private void completePendingSnapshot() throws DurableException {
        if (pendingSnapshotIndex == 0) return;
        candidateStates.add(currentState().withSnapshot(pendingSnapshotIndex));
        durableLog.sync();
        pendingSnapshotIndex = 0;
        acknowledge();
    }

    private static byte[] chunk(long index, int chunk) {
        return ("snapshot " + index + " chunk " + chunk).getBytes();
    }

    /**
     * The state among those that may be there which was found, or null; {@code passed}: a snapshot
     * may have been passed over.
     */
    ExpectedState matchingState(boolean passed) {
        RecoveredState recovered = durableLog.recoveredState();
        long newest = recovered.snapshot() == null ? 0 : recovered.snapshot().index();
        for (int i = candidateStates.size() - 1; i >= 0; i--) {
            ExpectedState state = candidateStates.get(i);
            if (matches(state, recovered) && (passed || state.newestSnapshotIndex() == newest))
                return state;
        }
        return null;
    }

    /** Whether what was found was true once. */
    boolean wasAcknowledged() {
        RecoveredState recovered = durableLog.recoveredState();
        return acknowledgedStates.stream().anyMatch(state -> matches(state, recovered));
    }

    /**
     * A generation that is not the newest does, as long as the entries lead from it to the same
     * end.
     */
    private static boolean matches(ExpectedState state, RecoveredState recovered) {
        if (recovered.term() != state.term() || !recovered.votedFor().equals(state.vote()))
            return false;
        byte[] note = recovered.metadata().get("note");
        if (!state.note().equals(note == null ? "" : new String(note))) return false;
        long from = 0;
        if (recovered.snapshot() != null) {
            from = recovered.snapshot().index();
            if (!state.snapshots().contains(from)) return false;
            for (int i = 0; i < recovered.snapshot().chunks().size(); i++)
                if (!Arrays.equals(recovered.snapshot().chunks().get(i), chunk(from, i)))
                    return false;
        }
        if (recovered.lastIndex() != state.last()
                || recovered.entries().size() != state.last() - from) return false;
        for (RecoveredState.Entry entry : recovered.entries())
            if (entry.index() != ++from
                    || !new String(entry.bytes()).equals(state.entries().get(from))) return false;
        return true;
    }

    void cutPower(int kind) {
        logDisk.cutPower(kind);
        markerDisk.cutPower(kind);
    }

    void killProcess() {
        logDisk.killProcess();
        markerDisk.killProcess();
    }
}
