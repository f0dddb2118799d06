// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.durable.CrashTrials.Outcome;
import calicostream.durable.CrashTrials.Verdict;
import calicostream.durable.FaultyDisk.Fault;
import java.nio.ByteBuffer;
import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Each lie of a disk is noticed or took nothing; each fault has its type, its state and its way
 * back.
 */
class DiskFaultTest {

    private static final int SEEDS = 100;

    @Test
    void everyLieThatTookSomethingIsNoticedAndStaysSoUntilAdmittedAnew() throws Exception {
        Map<CrashTrials.SilentFault, Integer> noticed =
                new EnumMap<>(CrashTrials.SilentFault.class);
        for (CrashTrials.SilentFault lie : CrashTrials.SilentFault.values()) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                Outcome outcome = CrashTrials.runSilentFault(seed, lie);
                assertTrue(
                        outcome.verdict() == Verdict.INTACT
                                || outcome.verdict() == Verdict.DETECTED,
                        () -> outcome.verdict() + " " + outcome.description());
                if (outcome.verdict() == Verdict.DETECTED) noticed.merge(lie, 1, Integer::sum);
            }
        }
        System.out.println("seeds 1 to " + SEEDS + ", noticed " + noticed);
        for (CrashTrials.SilentFault lie : CrashTrials.SilentFault.values()) {
            // A rotten snapshot has the generation before it, and the log, to stand in.
            boolean spared =
                    lie == CrashTrials.SilentFault.SNAPSHOT_ROT
                            || lie == CrashTrials.SilentFault.SNAPSHOT_GONE
                            || lie == CrashTrials.SilentFault.MARKS_ROT;
            assertTrue(
                    noticed.getOrDefault(lie, 0) >= (spared ? 1 : SEEDS / 4),
                    lie + " noticed " + noticed.get(lie));
        }
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "SLOW", mode = EnumSource.Mode.EXCLUDE)
    void aFaultAtAnyCallIsNamedAndNothingIsLostOnTheWayBack(Fault fault) throws Exception {
        int met = 0;
        for (long seed = 1; seed <= 150; seed++) {
            CrashScenario play = new CrashScenario(seed);
            play.open();
            play.performRandomSteps(10);
            play.machine.fault = fault;
            play.machine.faultAtCall = play.machine.callCount + 1 + play.random.nextInt(60);
            String what = "seed " + seed + " call " + play.machine.faultAtCall;
            try {
                play.performRandomSteps(80);
                continue;
            } catch (DurableException e) {
                met++;
                assertEquals(code(fault), e.code(), what);
                assertEquals(state(fault), play.durableLog.status().state(), what);
                assertEquals(e, play.durableLog.status().fault(), what);
                assertThrows(DurableException.LogFailed.class, () -> play.durableLog.sync(), what);
            }
            // The system lives and its pages lie; the fault is mended, and the power goes right
            // after the opening.
            play.killProcess();
            play.logDisk.isFull =
                    play.logDisk.isReadOnly =
                            play.markerDisk.isFull = play.markerDisk.isReadOnly = false;
            play.open();
            assertEquals(
                    StateLossDetector.StateLoss.NONE,
                    play.durableLog.recoveredState().localState().stateLoss(),
                    what);
            assertNotNull(play.matchingState(false), what);
            play.resumeFrom(play.matchingState(false));
            play.cutPower(0);
            play.open();
            assertNotNull(play.matchingState(false), what + " after a power cut");
            assertEquals(RecoveryVerdict.VOTER, play.assess().verdict(), what);
        }
        assertTrue(met > 100, "met " + met);
    }

    private static String code(Fault fault) {
        return switch (fault) {
            case FULL -> "disk-full";
            case READ_ONLY -> "disk-read-only";
            case SYNC_FAILS -> "disk-sync-failed";
            case WRITE_FAILS -> "disk-failed";
            case SLOW -> "disk-slow";
        };
    }

    private static LogStatus.State state(Fault fault) {
        return switch (fault) {
            case FULL -> LogStatus.State.FULL;
            case READ_ONLY -> LogStatus.State.READ_ONLY;
            case SYNC_FAILS, WRITE_FAILS -> LogStatus.State.FAILED;
            case SLOW -> LogStatus.State.SLOW;
        };
    }

    @Test
    void aSlowSyncIsSeenWhileItLastsAndAfterUntilEightWereQuick() throws Exception {
        CrashScenario play = new CrashScenario(3);
        play.open();
        play.machine.fault = Fault.SLOW;
        play.machine.faultAtCall = 0;
        play.durableLog.appendEntry(1, 1, new byte[1]);
        play.durableLog.sync();
        assertEquals(LogStatus.State.SLOW, play.durableLog.status().state());
        assertEquals("disk-slow", play.durableLog.status().fault().code());
        assertEquals(3_000_000_000L, play.durableLog.status().longestSyncNanos());
        for (int i = 2; i <= 1 + LogHealth.FAST_SYNCS_TO_RECOVER; i++) {
            assertEquals(LogStatus.State.SLOW, play.durableLog.status().state());
            play.durableLog.appendEntry(i, 1, new byte[1]);
            play.durableLog.sync();
        }
        assertEquals(LogStatus.State.READY, play.durableLog.status().state());

        LogHealth health = new LogHealth(1_000, 0);
        health.syncStarted(10);
        assertEquals(LogStatus.State.READY, health.status(1_010, 1, false, 0, 0).state());
        assertEquals(LogStatus.State.SLOW, health.status(1_011, 1, false, 0, 0).state());
        health.syncEnded(20);
        assertEquals(LogStatus.State.READY, health.status(2_000, 1, false, 0, 0).state());
    }

    /** The stand-in disk itself: without this a log that trusts its pages would pass. */
    @Test
    void theFaultyDiskForgetsPagesOfAFailedSync() throws Exception {
        FaultyDisk.SimulatedMachine power = new FaultyDisk.SimulatedMachine(1);
        FaultyDisk disk = new FaultyDisk("disk", power);
        power.fault = Fault.SYNC_FAILS;
        power.faultAtCall = 0;
        disk.append("file", ByteBuffer.wrap(new byte[] {7}));
        disk.syncDirectory();
        assertThrows(DurableException.SyncFailed.class, () -> disk.sync("file"));
        disk.sync("file");
        assertEquals(7, disk.read("file")[0]);
        disk.cutPower(1);
        assertEquals(0, disk.read("file").length);
    }

    @Test
    void oneFolderServesOneLog() throws Exception {
        CrashScenario play = new CrashScenario(1);
        play.open();
        assertThrows(
                DurableException.DirectoryInUse.class,
                () ->
                        DurableLog.open(
                                play.logDisk,
                                play.markerDisk,
                                CrashScenario.IDENTITY,
                                LogOptions.DEFAULT));
    }

    @Test
    void aSnapshotThatRotsHasTheOneBeforeItToStandIn() throws Exception {
        CrashScenario play = new CrashScenario(1);
        play.open();
        for (int i = 1; i <= 6; i++) play.durableLog.appendEntry(i, 1, ("e" + i).getBytes());
        play.durableLog.saveSnapshot(2, 1, "two".getBytes());
        play.durableLog.truncateUntil(2);
        play.durableLog.saveSnapshot(4, 1, "four".getBytes());
        play.durableLog.truncateUntil(4);
        play.durableLog.saveSnapshot(5, 1, "five".getBytes());
        play.durableLog.truncateUntil(5);
        play.durableLog.close();
        assertEquals(
                2,
                LogFileNames.filesOfKind(LogFileNames.SNAPSHOT_PREFIX, play.logDisk.fileNames())
                        .size());
        play.logDisk.removeFile(LogFileNames.snapshot(new LogRecord.SnapshotId(5, 1)));
        play.open();
        RecoveredState recovered = play.durableLog.recoveredState();
        assertEquals(4, recovered.snapshot().index());
        assertEquals(2, recovered.entries().size());
        assertEquals(1, recovered.findings().size(), recovered.findings().toString());
        play.durableLog.close();
        play.logDisk.removeFile(LogFileNames.snapshot(new LogRecord.SnapshotId(4, 1)));
        play.durableLog =
                DurableLog.open(
                        play.logDisk, play.markerDisk, CrashScenario.IDENTITY, LogOptions.DEFAULT);
        assertEquals(
                6,
                play.durableLog.recoveredState().entries().size(),
                "the first segment still holds all from the first entry");
    }
}
