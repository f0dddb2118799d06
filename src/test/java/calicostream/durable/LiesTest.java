// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.durable.FaultyDisk.Fault;
import calicostream.durable.Trials.End;
import calicostream.durable.Trials.Outcome;
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
class LiesTest {

    private static final int SEEDS = 100;

    @Test
    void everyLieThatTookSomethingIsNoticedAndStaysSoUntilAdmittedAnew() throws Exception {
        Map<Trials.Lie, Integer> noticed = new EnumMap<>(Trials.Lie.class);
        for (Trials.Lie lie : Trials.Lie.values()) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                Outcome outcome = Trials.lie(seed, lie);
                assertTrue(
                        outcome.end() == End.INTACT || outcome.end() == End.NOTICED,
                        () -> outcome.end() + " " + outcome.what());
                if (outcome.end() == End.NOTICED) noticed.merge(lie, 1, Integer::sum);
            }
        }
        System.out.println("seeds 1 to " + SEEDS + ", noticed " + noticed);
        for (Trials.Lie lie : Trials.Lie.values()) {
            // A rotten snapshot has the generation before it, and the log, to stand in.
            boolean spared =
                    lie == Trials.Lie.SNAPSHOT_ROT
                            || lie == Trials.Lie.SNAPSHOT_GONE
                            || lie == Trials.Lie.MARKS_ROT;
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
            Play play = new Play(seed);
            play.open();
            play.act(10);
            play.power.fault = fault;
            play.power.faultAt = play.power.calls + 1 + play.random.nextInt(60);
            String what = "seed " + seed + " call " + play.power.faultAt;
            try {
                play.act(80);
                continue;
            } catch (DurableException e) {
                met++;
                assertEquals(code(fault), e.code(), what);
                assertEquals(state(fault), play.durable.status().state(), what);
                assertEquals(e, play.durable.status().trouble(), what);
                assertThrows(DurableException.LogFailed.class, () -> play.durable.sync(), what);
            }
            // The system lives and its pages lie; the fault is mended, and the power goes right
            // after the opening.
            play.killed();
            play.log.full = play.log.readOnly = play.marks.full = play.marks.readOnly = false;
            play.open();
            assertEquals(
                    StateLossDetector.Doubt.NONE, play.durable.recovered().own().doubt(), what);
            assertNotNull(play.found(false), what);
            play.goOn(play.found(false));
            play.cut(0);
            play.open();
            assertNotNull(play.found(false), what + " after a power cut");
            assertEquals(RecoveryVerdict.VOTER, play.judge().verdict(), what);
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
        Play play = new Play(3);
        play.open();
        play.power.fault = Fault.SLOW;
        play.power.faultAt = 0;
        play.durable.appendEntry(1, 1, new byte[1]);
        play.durable.sync();
        assertEquals(LogStatus.State.SLOW, play.durable.status().state());
        assertEquals("disk-slow", play.durable.status().trouble().code());
        assertEquals(3_000_000_000L, play.durable.status().longestSyncNanos());
        for (int i = 2; i <= 1 + LogHealth.CALM; i++) {
            assertEquals(LogStatus.State.SLOW, play.durable.status().state());
            play.durable.appendEntry(i, 1, new byte[1]);
            play.durable.sync();
        }
        assertEquals(LogStatus.State.READY, play.durable.status().state());

        LogHealth health = new LogHealth(1_000, 0);
        health.syncBegan(10);
        assertEquals(LogStatus.State.READY, health.status(1_010, 1, false, 0, 0).state());
        assertEquals(LogStatus.State.SLOW, health.status(1_011, 1, false, 0, 0).state());
        health.syncEnded(20);
        assertEquals(LogStatus.State.READY, health.status(2_000, 1, false, 0, 0).state());
    }

    /** The stand-in disk itself: without this a log that trusts its pages would pass. */
    @Test
    void theFaultyDiskForgetsPagesOfAFailedSync() throws Exception {
        FaultyDisk.Power power = new FaultyDisk.Power(1);
        FaultyDisk disk = new FaultyDisk("disk", power);
        power.fault = Fault.SYNC_FAILS;
        power.faultAt = 0;
        disk.append("file", ByteBuffer.wrap(new byte[] {7}));
        disk.syncFolder();
        assertThrows(DurableException.SyncFailed.class, () -> disk.sync("file"));
        disk.sync("file");
        assertEquals(7, disk.read("file")[0]);
        disk.cut(1);
        assertEquals(0, disk.read("file").length);
    }

    @Test
    void oneFolderServesOneLog() throws Exception {
        Play play = new Play(1);
        play.open();
        assertThrows(
                DurableException.InUse.class,
                () -> DurableLog.open(play.log, play.marks, Play.WHO, LogOptions.DEFAULT));
    }

    @Test
    void aSnapshotThatRotsHasTheOneBeforeItToStandIn() throws Exception {
        Play play = new Play(1);
        play.open();
        for (int i = 1; i <= 6; i++) play.durable.appendEntry(i, 1, ("e" + i).getBytes());
        play.durable.snapshot(2, 1, "two".getBytes());
        play.durable.truncateUntil(2);
        play.durable.snapshot(4, 1, "four".getBytes());
        play.durable.truncateUntil(4);
        play.durable.snapshot(5, 1, "five".getBytes());
        play.durable.truncateUntil(5);
        play.durable.close();
        assertEquals(2, SegmentNames.of(SegmentNames.SNAPSHOT, play.log.files()).size());
        play.log.remove(SegmentNames.snapshot(new LogRecord.Ref(5, 1)));
        play.open();
        RecoveredState recovered = play.durable.recovered();
        assertEquals(4, recovered.snapshot().index());
        assertEquals(2, recovered.entries().size());
        assertEquals(1, recovered.findings().size(), recovered.findings().toString());
        play.durable.close();
        play.log.remove(SegmentNames.snapshot(new LogRecord.Ref(4, 1)));
        play.durable = DurableLog.open(play.log, play.marks, Play.WHO, LogOptions.DEFAULT);
        assertEquals(
                6,
                play.durable.recovered().entries().size(),
                "the first segment still holds all from the first entry");
    }
}
