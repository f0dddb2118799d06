// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.List;
import java.util.Random;

/**
 * One trial each: a crash at a disk call, a lie, a fault. A seed, a place and a kind give the same
 * trial each time.
 */
final class CrashTrials {

    private static final int STEPS = 120;

    enum Verdict {
        INTACT,
        DETECTED,
        FALSE_ALARM,
        LOST,
        FABRICATED
    }

    record Outcome(Verdict verdict, String description) {}

    enum SilentFault {
        LOG_SYNC_LOST,
        MARKS_SYNC_LOST,
        BOTH_SYNC_LOST,
        LOG_OLDER,
        MARKS_OLDER,
        BOTH_OLDER,
        LOG_EMPTY,
        MARKS_EMPTY,
        BOTH_EMPTY,
        LOG_FOREIGN,
        MARKS_FOREIGN,
        LOG_ROT,
        MARKS_ROT,
        SNAPSHOT_ROT,
        SEGMENT_GONE,
        SEGMENT_OLDER,
        SNAPSHOT_GONE,
        LOG_BRANCHED,
        SEGMENT_BRANCHED,
        BOTH_OLDER_APART
    }

    private CrashTrials() {}

    /** How many disk calls a whole play has. */
    static int countDiskCalls(long seed) throws DurableException {
        CrashScenario play = new CrashScenario(seed);
        play.open();
        play.performRandomSteps(STEPS);
        return play.machine.callCount;
    }

    /**
     * Kinds 0 to 2 are power cuts ({@link FaultyDisk#cutPower}), 3 is a killed process on a system
     * that lives.
     */
    static Outcome runCrash(long seed, int at, int kind) throws DurableException {
        String what = "seed " + seed + " call " + at + " kind " + kind + ": ";
        CrashScenario play = new CrashScenario(seed);
        play.machine.crashAtCall = at;
        try {
            play.open();
            play.performRandomSteps(STEPS);
        } catch (FaultyDisk.SimulatedCrash crash) {
            // Wanted.
        }
        // Each opening is cut once more on its way, up to one that gets through.
        for (int again = 1; ; again++) {
            if (kind == 3) play.killProcess();
            else play.cutPower(kind);
            play.machine.crashAtCall =
                    again <= 3 ? play.machine.callCount + 1 + play.machine.random.nextInt(14) : -1;
            try {
                play.open();
                break;
            } catch (FaultyDisk.SimulatedCrash crash) {
                // Again.
            } catch (DurableException e) {
                return new Outcome(Verdict.FALSE_ALARM, what + e);
            }
        }
        play.machine.crashAtCall = -1;
        Outcome first = checkUndamaged(play, what);
        if (first.verdict() != Verdict.INTACT) return first;
        // What an opening found is as good as synced: the power goes at once.
        play.resumeFrom(play.matchingState(false));
        play.cutPower(0);
        play.open();
        Outcome second = checkUndamaged(play, what + "power cut after the opening, ");
        if (second.verdict() != Verdict.INTACT) return second;
        play.resumeFrom(play.matchingState(false));
        play.performRandomSteps(20);
        play.close();
        play.open();
        return checkUndamaged(play, what + "later, ");
    }

    private static Outcome checkUndamaged(CrashScenario play, String what) {
        StateLossDetector.LocalState own = play.durableLog.recoveredState().localState();
        if (own.stateLoss() != StateLossDetector.StateLoss.NONE)
            return new Outcome(Verdict.FALSE_ALARM, what + own);
        if (own.votingStatus() == StateLossDetector.VotingStatus.ADMITTED
                && play.assess().verdict() != RecoveryVerdict.VOTER)
            return new Outcome(Verdict.FALSE_ALARM, what + play.assess());
        if (play.matchingState(false) != null) return new Outcome(Verdict.INTACT, what);
        return mismatch(play, what);
    }

    private static Outcome mismatch(CrashScenario play, String what) {
        return new Outcome(
                play.wasAcknowledged() ? Verdict.LOST : Verdict.FABRICATED,
                what + play.durableLog.recoveredState() + " is none of " + play.candidateStates);
    }

    /** Tells the lie to a member in the middle of its work and opens it again. */
    static Outcome runSilentFault(long seed, SilentFault lie) throws DurableException {
        String what = "seed " + seed + " " + lie + ": ";
        CrashScenario play = new CrashScenario(seed);
        play.open();
        Random random = new Random(seed * 17 + lie.ordinal());
        play.performRandomSteps(20 + random.nextInt(60));
        if (random.nextBoolean()) {
            play.close();
            play.open();
            play.resumeFrom(play.matchingState(false));
            play.performRandomSteps(random.nextInt(20));
        }
        play.durableLog.sync();
        play.acknowledgeAll();
        FaultyDisk log = play.logDisk.copy();
        FaultyDisk marks = play.markerDisk.copy();
        CrashScenario branch = null;
        if (lie == SilentFault.LOG_BRANCHED || lie == SilentFault.SEGMENT_BRANCHED) {
            // Both go on from one opening, so that numbers and incarnations are the same.
            play.close();
            branch = forkMember(play, random);
            play.open();
            play.resumeFrom(play.matchingState(false));
        }
        boolean log0 = lie == SilentFault.LOG_SYNC_LOST || lie == SilentFault.BOTH_SYNC_LOST;
        boolean marks0 = lie == SilentFault.MARKS_SYNC_LOST || lie == SilentFault.BOTH_SYNC_LOST;
        play.logDisk.isDroppingSyncs = log0;
        play.markerDisk.isDroppingSyncs = marks0;
        play.performRandomSteps(5 + random.nextInt(60));
        play.durableLog.sync();
        play.acknowledgeAll();
        if (lie == SilentFault.BOTH_OLDER_APART) {
            // The copy of the log is later than that of the marks.
            log = play.logDisk.copy();
            play.performRandomSteps(20);
            play.durableLog.sync();
            play.acknowledgeAll();
        }
        // Where one place alone lies, the other has to tell: peers say nothing.
        if (lie != SilentFault.BOTH_SYNC_LOST
                && lie != SilentFault.BOTH_OLDER
                && lie != SilentFault.BOTH_EMPTY)
            play.peerObservation = StateLossDetector.PeerObservation.NONE;
        if (log0 || marks0) play.cutPower(0);
        else play.killProcess();
        injectFault(play, lie, log, marks, branch, random);
        try {
            play.open();
        } catch (DurableException e) {
            return checkRecovery(play, lie, new Outcome(Verdict.DETECTED, what + e.code()));
        }
        if (play.assess().verdict() != RecoveryVerdict.VOTER)
            return checkRecovery(
                    play, lie, new Outcome(Verdict.DETECTED, what + play.assess().reason()));
        return play.matchingState(true) != null
                ? new Outcome(Verdict.INTACT, what)
                : mismatch(play, what);
    }

    /** A copy of the member that goes on elsewhere, under its name. */
    private static CrashScenario forkMember(CrashScenario play, Random random)
            throws DurableException {
        CrashScenario branch = new CrashScenario(random.nextLong());
        branch.logDisk.restore(play.logDisk);
        branch.markerDisk.restore(play.markerDisk);
        branch.open();
        branch.resumeFrom(play.acknowledgedStates.get(play.acknowledgedStates.size() - 1));
        branch.performRandomSteps(60 + random.nextInt(60));
        branch.close();
        return branch;
    }

    private static void injectFault(
            CrashScenario play,
            SilentFault lie,
            FaultyDisk log,
            FaultyDisk marks,
            CrashScenario branch,
            Random random)
            throws DurableException {
        FaultyDisk empty = new FaultyDisk("empty", play.machine);
        switch (lie) {
            case LOG_SYNC_LOST, MARKS_SYNC_LOST, BOTH_SYNC_LOST -> {}
            case LOG_OLDER -> play.logDisk.restore(log);
            case MARKS_OLDER -> play.markerDisk.restore(marks);
            case BOTH_OLDER, BOTH_OLDER_APART -> {
                play.logDisk.restore(log);
                play.markerDisk.restore(marks);
            }
            case LOG_EMPTY -> play.logDisk.restore(empty);
            case MARKS_EMPTY -> play.markerDisk.restore(empty);
            case BOTH_EMPTY -> {
                play.logDisk.restore(empty);
                play.markerDisk.restore(empty);
            }
            case LOG_FOREIGN, MARKS_FOREIGN -> {
                FaultyDisk theirs = new FaultyDisk("z", play.machine);
                FaultyDisk theirMarks = new FaultyDisk("z", play.machine);
                DurableLog.open(
                                theirs,
                                theirMarks,
                                new LogIdentity("site", "z"),
                                LogOptions.DEFAULT)
                        .close();
                if (lie == SilentFault.LOG_FOREIGN) play.logDisk.restore(theirs);
                else play.markerDisk.restore(theirMarks);
            }
            case LOG_ROT -> play.logDisk.flipBit(LogFileNames.SEGMENT_PREFIX, random);
            case MARKS_ROT -> play.markerDisk.flipBit(LogFileNames.MARKER_PREFIX, random);
            case SNAPSHOT_ROT -> play.logDisk.flipBit(LogFileNames.SNAPSHOT_PREFIX, random);
            case SEGMENT_GONE -> {
                List<String> files =
                        LogFileNames.filesOfKind(
                                LogFileNames.SEGMENT_PREFIX, play.logDisk.fileNames());
                play.logDisk.removeFile(files.get(random.nextInt(files.size())));
            }
            case SEGMENT_OLDER -> {
                // The one that was being written when the copy was made.
                List<String> files =
                        LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, log.fileNames());
                String name = files.get(files.size() - 1);
                if (play.logDisk.fileNames().contains(name))
                    play.logDisk.putFile(name, log.fileBytes(name));
            }
            case LOG_BRANCHED -> play.logDisk.restore(branch.logDisk);
            case SEGMENT_BRANCHED -> {
                List<String> files =
                        LogFileNames.filesOfKind(
                                        LogFileNames.SEGMENT_PREFIX, play.logDisk.fileNames())
                                .stream()
                                .filter(branch.logDisk.fileNames()::contains)
                                .toList();
                String name =
                        files.isEmpty()
                                ? null
                                : files.get(Math.max(0, files.size() - 1 - random.nextInt(3)));
                if (name != null) play.logDisk.putFile(name, branch.logDisk.fileBytes(name));
            }
            case SNAPSHOT_GONE -> {
                List<String> files =
                        LogFileNames.filesOfKind(
                                LogFileNames.SNAPSHOT_PREFIX, play.logDisk.fileNames());
                if (!files.isEmpty())
                    play.logDisk.removeFile(files.get(random.nextInt(files.size())));
            }
        }
    }

    /**
     * What was noticed stays so over starts, and the way back leads to a voter, but for a folder
     * that is not ours.
     */
    private static Outcome checkRecovery(CrashScenario play, SilentFault lie, Outcome noticed)
            throws DurableException {
        boolean foreign = lie == SilentFault.LOG_FOREIGN || lie == SilentFault.MARKS_FOREIGN;
        play.killProcess();
        boolean opened = true;
        try {
            play.durableLog =
                    DurableLog.open(
                            play.logDisk,
                            play.markerDisk,
                            CrashScenario.IDENTITY,
                            CrashScenario.options(play.machine));
            if (play.assess().verdict() == RecoveryVerdict.VOTER)
                return new Outcome(
                        Verdict.LOST, noticed.description() + ", and forgotten at the next start");
            if (play.durableLog.recoveredState().localState().votingStatus()
                            != StateLossDetector.VotingStatus.NEW
                    && play.assess().verdict() == RecoveryVerdict.LEARNER)
                play.durableLog.suspendVoting("peers say so");
        } catch (DurableException e) {
            opened = false;
        }
        if (foreign)
            return opened
                    ? new Outcome(
                            Verdict.LOST, noticed.description() + ", and opened at the next start")
                    : noticed;
        play.killProcess();
        play.durableLog =
                DurableLog.open(
                        play.logDisk,
                        play.markerDisk,
                        CrashScenario.IDENTITY,
                        CrashScenario.options(play.machine).withStartOver());
        if (play.assess().verdict() != RecoveryVerdict.LEARNER)
            return new Outcome(
                    Verdict.LOST, noticed.description() + ", and a voter once started over");
        play.durableLog.appendEntry(1, 1, new byte[3]);
        play.durableLog.admit();
        play.durableLog.close();
        play.peerObservation = StateLossDetector.PeerObservation.NONE;
        play.durableLog =
                DurableLog.open(
                        play.logDisk,
                        play.markerDisk,
                        CrashScenario.IDENTITY,
                        CrashScenario.options(play.machine));
        if (play.assess().verdict() != RecoveryVerdict.VOTER
                || play.durableLog.recoveredState().lastIndex() != 1)
            return new Outcome(
                    Verdict.FALSE_ALARM,
                    noticed.description() + ", admitted anew and then " + play.assess());
        return noticed;
    }
}
