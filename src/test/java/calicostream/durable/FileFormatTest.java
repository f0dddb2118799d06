// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** Files written by version 1 can be read, and are what is written today. */
class FileFormatTest {

    private static final Path GOLDEN = Path.of("src/test/resources/durable/v1");
    private static final LogIdentity IDENTITY = new LogIdentity("site", "a");

    /**
     * Opens a log twice, so that a segment follows another one, and writes a snapshot, a vote,
     * metadata and a truncation.
     */
    private static FaultyDisk write() throws DurableException {
        FaultyDisk disk = new FaultyDisk("disk", new FaultyDisk.SimulatedMachine(1));
        DurableLog log = DurableLog.open(disk, disk, IDENTITY, LogOptions.DEFAULT);
        log.admit();
        log.saveMetadata("endpoint", "a:4100".getBytes(StandardCharsets.UTF_8));
        log.saveMetadata("gone", new byte[1]);
        log.saveMetadata("gone", null);
        log.saveTermAndVote(3, "b");
        for (int i = 1; i <= 5; i++) {
            log.appendEntry(i, 3, ("entry " + i).getBytes(StandardCharsets.UTF_8));
        }
        log.sync();
        log.saveSnapshotChunk(2, 3, 1, 2, "second half".getBytes(StandardCharsets.UTF_8));
        log.saveSnapshotChunk(2, 3, 0, 2, "first half".getBytes(StandardCharsets.UTF_8));
        log.sync();
        log.saveTermAndVote(4, "");
        log.truncateFrom(5);
        log.appendEntry(5, 4, "entry 5 of term 4".getBytes(StandardCharsets.UTF_8));
        log.close();
        DurableLog reopened = DurableLog.open(disk, disk, IDENTITY, LogOptions.DEFAULT);
        reopened.appendEntry(6, 4, new byte[0]);
        reopened.close();
        return disk;
    }

    /** Writes new golden files: for a version 2, beside those of version 1. */
    public static void main(String[] args) throws IOException {
        FaultyDisk disk = write();
        for (String name : disk.fileNames()) {
            Files.write(Path.of(args[0], name), disk.fileBytes(name));
        }
    }

    private static FaultyDisk golden() throws IOException {
        FaultyDisk disk = new FaultyDisk("disk", new FaultyDisk.SimulatedMachine(1));
        try (Stream<Path> files = Files.list(GOLDEN)) {
            for (Path file : files.toList()) {
                disk.putFile(file.getFileName().toString(), Files.readAllBytes(file));
            }
        }
        return disk;
    }

    @Test
    void goldenFilesAreRead() throws Exception {
        FaultyDisk disk = golden();
        DurableLog log = DurableLog.open(disk, disk, IDENTITY, LogOptions.DEFAULT);
        RecoveredState recovered = log.recoveredState();
        assertEquals(4, recovered.term());
        assertEquals("", recovered.votedFor());
        assertEquals(List.of("endpoint"), List.copyOf(recovered.metadata().keySet()));
        assertEquals(
                "a:4100", new String(recovered.metadata().get("endpoint"), StandardCharsets.UTF_8));
        assertEquals(2, recovered.snapshot().index());
        assertEquals(3, recovered.snapshot().term());
        assertEquals(
                "first half",
                new String(recovered.snapshot().chunks().get(0), StandardCharsets.UTF_8));
        assertEquals(
                "second half",
                new String(recovered.snapshot().chunks().get(1), StandardCharsets.UTF_8));
        assertEquals(
                List.of(3L, 4L, 5L, 6L),
                recovered.entries().stream().map(RecoveredState.Entry::index).toList());
        assertEquals(
                List.of(3L, 3L, 4L, 4L),
                recovered.entries().stream().map(RecoveredState.Entry::term).toList());
        assertEquals(
                "entry 5 of term 4",
                new String(recovered.entries().get(2).bytes(), StandardCharsets.UTF_8));
        assertEquals(
                new StateLossDetector.LocalState(
                        3,
                        4,
                        "",
                        6,
                        StateLossDetector.VotingStatus.ADMITTED,
                        StateLossDetector.StateLoss.NONE,
                        ""),
                recovered.localState());
    }

    @Test
    void filesWrittenTodayAreTheSameByteForByte() throws Exception {
        FaultyDisk golden = golden();
        FaultyDisk today = write();
        assertEquals(golden.fileNames(), today.fileNames());
        for (String name : golden.fileNames()) {
            assertArrayEquals(golden.fileBytes(name), today.fileBytes(name), name);
        }
    }

    @Test
    void laterVersionIsRejected() throws Exception {
        FieldBuffer out = new FieldBuffer(64);
        RecordFraming.write(
                out, new LogRecord.VotingStatusChange(StateLossDetector.VotingStatus.NEW), 1, 0, 0);
        for (int offset : new int[] {8, 9}) {
            byte[] frame = out.copy();
            frame[offset] = 99;
            CRC32C checksum = new CRC32C();
            checksum.update(frame, 0, 4);
            checksum.update(frame, 8, frame.length - 8);
            ByteBuffer.wrap(frame).putInt(4, (int) checksum.getValue());
            assertThrows(
                    DurableException.UnknownFormat.class,
                    () -> RecordFraming.read(frame, 0, "file"));
        }
    }

    /**
     * Flips each byte of each synced record in turn: a log never opens as undamaged with something
     * else in it than was written.
     */
    @Test
    void everyFlippedByteOfTheLogIsDetected() throws Exception {
        FaultyDisk undamaged = golden();
        int detected = 0;
        int bytes = 0;
        for (String name :
                LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, undamaged.fileNames())) {
            for (int at = 0; at < undamaged.fileBytes(name).length; at++) {
                bytes++;
                FaultyDisk disk = golden();
                byte[] flipped = disk.fileBytes(name);
                flipped[at] ^= 0x10;
                disk.putFile(name, flipped);
                try {
                    if (DurableLog.open(disk, disk, IDENTITY, LogOptions.DEFAULT)
                                    .recoveredState()
                                    .localState()
                                    .stateLoss()
                            != StateLossDetector.StateLoss.NONE) {
                        detected++;
                    }
                } catch (DurableException e) {
                    assertTrue(
                            List.of("log-rotten", "log-hole").contains(e.code()),
                            name + " byte " + at + ": " + e);
                    detected++;
                }
            }
        }
        assertEquals(bytes, detected);
    }

    @Test
    void eachStateIsDocumented() throws Exception {
        String page = Files.readString(Path.of("docs/operate/durable.md"));
        for (LogStatus.State state : LogStatus.State.values()) {
            assertTrue(page.contains("| " + state + " |"), state.name());
        }
    }
}
