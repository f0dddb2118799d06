// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.FaultyDisk.PowerCut;
import calicostream.durable.TrialOutcome.Verdict;
import java.util.List;
import java.util.Random;

/**
 * One trial of a {@link SilentFault}: it hits a member in the middle of its work, and the member is
 * started again. Seed and fault give the same trial every time. For one use.
 */
final class SilentFaultTrial {
    private final SilentFault fault;
    private final CrashScenario scenario;
    private final Random random;
    private final String description;

    /** Copies of both disks from before the fault. */
    private FaultyDisk olderLogDisk;

    private FaultyDisk olderMarkerDisk;

    /** A copy of the member that continued elsewhere under its name; null for other faults. */
    private CrashScenario branch;

    private SilentFaultTrial(long seed, SilentFault fault) {
        this.fault = fault;
        this.scenario = new CrashScenario(seed);
        this.random = new Random(seed * 17 + fault.ordinal());
        this.description = "seed " + seed + " " + fault + ": ";
    }

    static TrialOutcome run(long seed, SilentFault fault) throws DurableException {
        return new SilentFaultTrial(seed, fault).run();
    }

    private TrialOutcome run() throws DurableException {
        workBeforeFault();
        workUntilCrash();
        injectFault();
        try {
            scenario.open();
        } catch (DurableException e) {
            return checkRecovery(new TrialOutcome(Verdict.DETECTED, description + e.code()));
        }
        StateLossDetector.Assessment assessment = scenario.assess();
        if (assessment.verdict() != RecoveryVerdict.VOTER) {
            return checkRecovery(
                    new TrialOutcome(Verdict.DETECTED, description + assessment.reason()));
        }
        return scenario.matchingState(true) != null
                ? new TrialOutcome(Verdict.INTACT, description)
                : CrashTrials.mismatch(scenario, description);
    }

    private void workBeforeFault() throws DurableException {
        scenario.open();
        scenario.performRandomSteps(20 + random.nextInt(60));
        if (random.nextBoolean()) {
            scenario.close();
            scenario.open();
            scenario.resumeFrom(scenario.matchingState(false));
            scenario.performRandomSteps(random.nextInt(20));
        }
        syncAll();
        olderLogDisk = scenario.logDisk.copy();
        olderMarkerDisk = scenario.markerDisk.copy();
        if (fault.isBranched()) {
            // Both continue from one opening, so that numbers and incarnations are the same.
            scenario.close();
            branch = startBranch();
            scenario.open();
            scenario.resumeFrom(scenario.matchingState(false));
        }
    }

    private void syncAll() throws DurableException {
        scenario.durableLog.sync();
        scenario.acknowledgeAll();
    }

    private CrashScenario startBranch() throws DurableException {
        CrashScenario other = new CrashScenario(random.nextLong());
        other.logDisk.restore(scenario.logDisk);
        other.markerDisk.restore(scenario.markerDisk);
        other.open();
        other.resumeFrom(scenario.lastAcknowledgedState());
        other.performRandomSteps(60 + random.nextInt(60));
        other.close();
        return other;
    }

    private void workUntilCrash() throws DurableException {
        scenario.logDisk.isDroppingSyncs = fault.dropsLogSyncs();
        scenario.markerDisk.isDroppingSyncs = fault.dropsMarkerSyncs();
        scenario.performRandomSteps(5 + random.nextInt(60));
        syncAll();
        if (fault == SilentFault.BOTH_OLDER_APART) {
            // The copy of the log is later than that of the markers.
            olderLogDisk = scenario.logDisk.copy();
            scenario.performRandomSteps(20);
            syncAll();
        }
        if (!fault.affectsBothDisksAlike()) {
            // The other disk has to show the fault alone, without the help of peers.
            scenario.peerObservation = StateLossDetector.PeerObservation.NONE;
        }
        if (fault.dropsLogSyncs() || fault.dropsMarkerSyncs()) {
            scenario.cutPower(PowerCut.KEEPS_NOTHING);
        } else {
            scenario.killProcess();
        }
    }

    private void injectFault() throws DurableException {
        FaultyDisk logDisk = scenario.logDisk;
        FaultyDisk markerDisk = scenario.markerDisk;
        FaultyDisk emptyDisk = new FaultyDisk("empty", scenario.machine);
        switch (fault) {
            case LOG_SYNC_LOST, MARKS_SYNC_LOST, BOTH_SYNC_LOST -> {
                // The power cut has done it.
            }
            case LOG_OLDER -> logDisk.restore(olderLogDisk);
            case MARKS_OLDER -> markerDisk.restore(olderMarkerDisk);
            case BOTH_OLDER, BOTH_OLDER_APART -> {
                logDisk.restore(olderLogDisk);
                markerDisk.restore(olderMarkerDisk);
            }
            case LOG_EMPTY -> logDisk.restore(emptyDisk);
            case MARKS_EMPTY -> markerDisk.restore(emptyDisk);
            case BOTH_EMPTY -> {
                logDisk.restore(emptyDisk);
                markerDisk.restore(emptyDisk);
            }
            case LOG_FOREIGN, MARKS_FOREIGN -> replaceByForeignDisk();
            case LOG_ROT -> logDisk.flipBit(LogFileNames.SEGMENT_PREFIX, random);
            case MARKS_ROT -> markerDisk.flipBit(LogFileNames.MARKER_PREFIX, random);
            case SNAPSHOT_ROT -> logDisk.flipBit(LogFileNames.SNAPSHOT_PREFIX, random);
            case SEGMENT_GONE -> removeRandomFile(LogFileNames.SEGMENT_PREFIX);
            case SEGMENT_OLDER -> restoreOlderSegment();
            case LOG_BRANCHED -> logDisk.restore(branch.logDisk);
            case SEGMENT_BRANCHED -> replaceSegmentByBranch();
            case SNAPSHOT_GONE -> removeRandomFile(LogFileNames.SNAPSHOT_PREFIX);
            default -> throw new IllegalStateException(fault.name());
        }
    }

    private void replaceByForeignDisk() throws DurableException {
        FaultyDisk foreignLogDisk = new FaultyDisk("z", scenario.machine);
        FaultyDisk foreignMarkerDisk = new FaultyDisk("z", scenario.machine);
        LogIdentity foreignIdentity = new LogIdentity("site", "z");
        DurableLog.open(foreignLogDisk, foreignMarkerDisk, foreignIdentity, LogOptions.DEFAULT)
                .close();
        if (fault == SilentFault.LOG_FOREIGN) {
            scenario.logDisk.restore(foreignLogDisk);
        } else {
            scenario.markerDisk.restore(foreignMarkerDisk);
        }
    }

    private void removeRandomFile(String prefix) {
        List<String> files = LogFileNames.filesOfKind(prefix, scenario.logDisk.fileNames());
        if (!files.isEmpty()) {
            scenario.logDisk.removeFile(files.get(random.nextInt(files.size())));
        }
    }

    /** The segment that was being written when the copy was made. */
    private void restoreOlderSegment() {
        List<String> files =
                LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, olderLogDisk.fileNames());
        String name = files.get(files.size() - 1);
        if (scenario.logDisk.fileNames().contains(name)) {
            scenario.logDisk.putFile(name, olderLogDisk.fileBytes(name));
        }
    }

    /** One of the last segments that both the member and its branch have. */
    private void replaceSegmentByBranch() {
        List<String> branchFiles = branch.logDisk.fileNames();
        List<String> common =
                LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, scenario.logDisk.fileNames())
                        .stream()
                        .filter(branchFiles::contains)
                        .toList();
        if (common.isEmpty()) {
            return;
        }
        int position = Math.max(0, common.size() - 1 - random.nextInt(3));
        String name = common.get(position);
        scenario.logDisk.putFile(name, branch.logDisk.fileBytes(name));
    }

    /**
     * Checks that what was detected stays so over restarts, and that starting over leads back to a
     * voter, but not in another member's directory.
     */
    private TrialOutcome checkRecovery(TrialOutcome detected) throws DurableException {
        scenario.killProcess();
        boolean isOpen = true;
        try {
            scenario.openWithoutAdmission();
            if (scenario.assess().verdict() == RecoveryVerdict.VOTER) {
                return failed(Verdict.LOST, detected, "forgotten at the next start");
            }
            suspendVotingIfLearner();
        } catch (DurableException e) {
            isOpen = false;
        }
        if (fault.isForeign()) {
            return isOpen ? failed(Verdict.LOST, detected, "opened at the next start") : detected;
        }
        scenario.killProcess();
        scenario.startOver();
        if (scenario.assess().verdict() != RecoveryVerdict.LEARNER) {
            return failed(Verdict.LOST, detected, "a voter once started over");
        }
        scenario.durableLog.appendEntry(1, 1, new byte[3]);
        scenario.durableLog.admit();
        scenario.durableLog.close();
        scenario.peerObservation = StateLossDetector.PeerObservation.NONE;
        scenario.openWithoutAdmission();
        if (scenario.assess().verdict() != RecoveryVerdict.VOTER
                || scenario.durableLog.recoveredState().lastIndex() != 1) {
            return failed(
                    Verdict.FALSE_ALARM, detected, "admitted again and then " + scenario.assess());
        }
        return detected;
    }

    private void suspendVotingIfLearner() throws DurableException {
        StateLossDetector.LocalState local = scenario.durableLog.recoveredState().localState();
        if (local.votingStatus() != StateLossDetector.VotingStatus.NEW
                && scenario.assess().verdict() == RecoveryVerdict.LEARNER) {
            scenario.durableLog.suspendVoting("peers say so");
        }
    }

    private static TrialOutcome failed(Verdict verdict, TrialOutcome detected, String what) {
        return new TrialOutcome(verdict, detected.description() + ", and " + what);
    }
}
