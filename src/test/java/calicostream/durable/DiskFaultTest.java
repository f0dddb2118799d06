// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.durable.FaultyDisk.Fault;
import calicostream.durable.FaultyDisk.PowerCut;
import calicostream.durable.TrialOutcome.Verdict;
import java.nio.ByteBuffer;
import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Each silent fault of a disk is detected or did no harm; each reported fault has its type, its
 * state and its way back.
 */
class DiskFaultTest {
    private static final int SILENT_FAULT_SEEDS = 100;
    private static final int REPORTED_FAULT_SEEDS = 150;

    @Test
    void everyHarmfulSilentFaultIsDetectedUntilTheMemberIsAdmittedAgain() throws Exception {
        Map<SilentFault, Integer> detected = new EnumMap<>(SilentFault.class);
        for (SilentFault fault : SilentFault.values()) {
            for (long seed = 1; seed <= SILENT_FAULT_SEEDS; seed++) {
                TrialOutcome outcome = SilentFaultTrial.run(seed, fault);
                assertTrue(
                        outcome.verdict() == Verdict.INTACT
                                || outcome.verdict() == Verdict.DETECTED,
                        () -> outcome.verdict() + " " + outcome.description());
                if (outcome.verdict() == Verdict.DETECTED) {
                    detected.merge(fault, 1, Integer::sum);
                }
            }
        }
        System.out.println("seeds 1 to " + SILENT_FAULT_SEEDS + ", detected " + detected);
        for (SilentFault fault : SilentFault.values()) {
            // A corrupt snapshot is replaced by the one before it and the log, a corrupt marker by
            // the one before it.
            boolean isMostlyHarmless =
                    fault == SilentFault.SNAPSHOT_ROT
                            || fault == SilentFault.SNAPSHOT_GONE
                            || fault == SilentFault.MARKS_ROT;
            assertTrue(
                    detected.getOrDefault(fault, 0)
                            >= (isMostlyHarmless ? 1 : SILENT_FAULT_SEEDS / 4),
                    fault + " detected " + detected.get(fault));
        }
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "SLOW", mode = EnumSource.Mode.EXCLUDE)
    void reportedFaultAtAnyCallHasItsTypeAndLosesNothing(Fault fault) throws Exception {
        int injected = 0;
        for (long seed = 1; seed <= REPORTED_FAULT_SEEDS; seed++) {
            CrashScenario scenario = new CrashScenario(seed);
            scenario.open();
            scenario.performRandomSteps(10);
            scenario.machine.fault = fault;
            scenario.machine.faultAtCall =
                    scenario.machine.callCount + 1 + scenario.random.nextInt(60);
            String description = "seed " + seed + " call " + scenario.machine.faultAtCall;
            try {
                scenario.performRandomSteps(80);
                continue;
            } catch (DurableException e) {
                injected++;
                assertEquals(expectedCode(fault), e.code(), description);
                LogStatus status = scenario.durableLog.status();
                assertEquals(expectedState(fault), status.state(), description);
                assertEquals(e, status.fault(), description);
                assertThrows(
                        DurableException.LogFailed.class,
                        () -> scenario.durableLog.sync(),
                        description);
            }
            assertReopens(scenario, description);
        }
        assertTrue(injected > 100, "injected " + injected);
    }

    /**
     * The system lives and can read pages that were never written; the fault is fixed, and the
     * power is cut right after the log was opened.
     */
    private static void assertReopens(CrashScenario scenario, String description)
            throws DurableException {
        scenario.killProcess();
        scenario.logDisk.clearFaults();
        scenario.markerDisk.clearFaults();
        scenario.open();
        assertEquals(
                StateLossDetector.StateLoss.NONE,
                scenario.durableLog.recoveredState().localState().stateLoss(),
                description);
        assertNotNull(scenario.matchingState(false), description);
        scenario.resumeFrom(scenario.matchingState(false));
        scenario.cutPower(PowerCut.KEEPS_NOTHING);
        scenario.open();
        assertNotNull(scenario.matchingState(false), description + " after a power cut");
        assertEquals(RecoveryVerdict.VOTER, scenario.assess().verdict(), description);
    }

    private static String expectedCode(Fault fault) {
        return switch (fault) {
            case FULL -> "disk-full";
            case READ_ONLY -> "disk-read-only";
            case SYNC_FAILS -> "disk-sync-failed";
            case WRITE_FAILS -> "disk-failed";
            case SLOW -> "disk-slow";
        };
    }

    private static LogStatus.State expectedState(Fault fault) {
        return switch (fault) {
            case FULL -> LogStatus.State.FULL;
            case READ_ONLY -> LogStatus.State.READ_ONLY;
            case SYNC_FAILS, WRITE_FAILS -> LogStatus.State.FAILED;
            case SLOW -> LogStatus.State.SLOW;
        };
    }

    @Test
    void slowSyncIsReportedWhileItLastsAndUntilEightWereFast() throws Exception {
        CrashScenario scenario = new CrashScenario(3);
        scenario.open();
        scenario.machine.fault = Fault.SLOW;
        scenario.machine.faultAtCall = 0;
        DurableLog log = scenario.durableLog;
        log.appendEntry(1, 1, new byte[1]);
        log.sync();
        assertEquals(LogStatus.State.SLOW, log.status().state());
        assertEquals("disk-slow", log.status().fault().code());
        assertEquals(3_000_000_000L, log.status().longestSyncNanos());
        for (int i = 2; i <= 1 + LogHealth.FAST_SYNCS_TO_RECOVER; i++) {
            assertEquals(LogStatus.State.SLOW, log.status().state());
            log.appendEntry(i, 1, new byte[1]);
            log.sync();
        }
        assertEquals(LogStatus.State.READY, log.status().state());

        LogHealth health = new LogHealth(1_000, 0);
        health.syncStarted(10);
        assertEquals(LogStatus.State.READY, health.status(1_010, 1, false, 0, 0).state());
        assertEquals(LogStatus.State.SLOW, health.status(1_011, 1, false, 0, 0).state());
        health.syncEnded(20);
        assertEquals(LogStatus.State.READY, health.status(2_000, 1, false, 0, 0).state());
    }

    /** Of the simulated disk itself: without this, a log that trusts its cache would pass. */
    @Test
    void faultyDiskLosesPagesOfAFailedSync() throws Exception {
        FaultyDisk.SimulatedMachine machine = new FaultyDisk.SimulatedMachine(1);
        FaultyDisk disk = new FaultyDisk("disk", machine);
        machine.fault = Fault.SYNC_FAILS;
        machine.faultAtCall = 0;
        disk.append("file", ByteBuffer.wrap(new byte[] {7}));
        disk.syncDirectory();
        assertThrows(DurableException.SyncFailed.class, () -> disk.sync("file"));
        disk.sync("file");
        assertEquals(7, disk.read("file")[0]);
        disk.cutPower(PowerCut.KEEPS_ALL);
        assertEquals(0, disk.read("file").length);
    }

    @Test
    void directoryServesOneLog() throws Exception {
        CrashScenario scenario = new CrashScenario(1);
        scenario.open();
        assertThrows(DurableException.DirectoryInUse.class, scenario::openWithDefaultOptions);
    }

    @Test
    void corruptSnapshotIsReplacedByTheOneBeforeIt() throws Exception {
        CrashScenario scenario = new CrashScenario(1);
        scenario.open();
        DurableLog log = scenario.durableLog;
        for (int i = 1; i <= 6; i++) {
            log.appendEntry(i, 1, ("e" + i).getBytes());
        }
        log.saveSnapshot(2, 1, "two".getBytes());
        log.truncateUntil(2);
        log.saveSnapshot(4, 1, "four".getBytes());
        log.truncateUntil(4);
        log.saveSnapshot(5, 1, "five".getBytes());
        log.truncateUntil(5);
        log.close();
        assertEquals(
                2,
                LogFileNames.filesOfKind(LogFileNames.SNAPSHOT_PREFIX, scenario.logDisk.fileNames())
                        .size());
        scenario.logDisk.removeFile(LogFileNames.snapshot(new LogRecord.SnapshotId(5, 1)));
        scenario.open();
        RecoveredState recovered = scenario.durableLog.recoveredState();
        assertEquals(4, recovered.snapshot().index());
        assertEquals(2, recovered.entries().size());
        assertEquals(1, recovered.findings().size(), recovered.findings().toString());
        scenario.durableLog.close();
        scenario.logDisk.removeFile(LogFileNames.snapshot(new LogRecord.SnapshotId(4, 1)));
        scenario.openWithDefaultOptions();
        assertEquals(
                6,
                scenario.durableLog.recoveredState().entries().size(),
                "the first segment still holds all from the first entry");
    }
}
