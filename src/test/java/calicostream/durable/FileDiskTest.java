// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A log on a real file system, written by a real process that is killed. */
class FileDiskTest {

    private static final LogIdentity IDENTITY = new LogIdentity("site", "a");

    @TempDir Path folder;

    private DurableLog open() throws DurableException {
        return open(folder);
    }

    private static DurableLog open(Path folder) throws DurableException {
        return DurableLog.open(
                new FileDisk(folder.resolve("log")),
                new FileDisk(folder.resolve("marks")),
                IDENTITY,
                LogOptions.DEFAULT);
    }

    /** Writes until the process is killed, and prints the index of each synced entry. */
    public static void main(String[] args) throws IOException {
        Path folder = Path.of(args[0]);
        DurableLog log = open(folder);
        if (log.recoveredState().localState().votingStatus()
                == StateLossDetector.VotingStatus.NEW) {
            log.admit();
        }
        for (long index = log.recoveredState().lastIndex() + 1; ; index++) {
            log.appendEntry(index, 1, Long.toString(index).getBytes(StandardCharsets.UTF_8));
            log.sync();
            System.out.println(index);
        }
    }

    @Test
    void killedProcessLosesNothingSyncedAndLocksOutASecondOne() throws Exception {
        long last = 0;
        for (int round = 1; round <= 3; round++) {
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx64m",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    FileDiskTest.class.getName(),
                                    folder.toString())
                            .redirectErrorStream(true)
                            .start();
            try (BufferedReader out =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8))) {
                for (int i = 0; i < 20; i++) {
                    last = Long.parseLong(out.readLine());
                }
                DurableException.DirectoryInUse inUse =
                        assertThrows(DurableException.DirectoryInUse.class, this::open);
                assertTrue(inUse.facts().contains("process " + process.pid()), inUse.facts());
                process.toHandle().destroyForcibly();
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                    last = Long.parseLong(line);
                }
            } finally {
                process.destroyForcibly().waitFor();
            }
            DurableLog log = open();
            RecoveredState recovered = log.recoveredState();
            assertEquals(
                    StateLossDetector.StateLoss.NONE,
                    recovered.localState().stateLoss(),
                    recovered.localState().facts());
            assertTrue(
                    recovered.lastIndex() >= last && recovered.lastIndex() <= last + 1,
                    recovered.lastIndex() + " after " + last);
            for (RecoveredState.Entry entry : recovered.entries()) {
                assertEquals(
                        Long.toString(entry.index()),
                        new String(entry.bytes(), StandardCharsets.UTF_8));
            }
            log.close();
        }
    }

    @Test
    void directoryIsLockedOnceAndReleasedOnClose() throws Exception {
        DurableLog log = open();
        assertThrows(DurableException.DirectoryInUse.class, this::open);
        assertThrows(
                DurableException.DirectoryInUse.class,
                this::open,
                "the first refusal must not release the lock");
        log.close();
        open().close();
        assertThrows(DurableException.LogClosed.class, log::sync);
    }

    @Test
    void failuresOfTheSystemAreClassified() throws Exception {
        try (FileDisk disk = new FileDisk(folder)) {
            assertThrows(DurableException.FileMissing.class, () -> disk.read("nothing"));
            assertThrows(DurableException.FileMissing.class, () -> disk.rename("nothing", "else"));
            Files.writeString(folder.resolve("file"), "x");
            assertThrows(DurableException.class, () -> new FileDisk(folder.resolve("file")));
            assumeTrue(Files.exists(Path.of("/dev/full")));
            Files.createSymbolicLink(folder.resolve("full"), Path.of("/dev/full"));
            assertThrows(
                    DurableException.DiskFull.class,
                    () -> disk.append("full", ByteBuffer.wrap(new byte[10])));
            disk.delete("full");
        }
    }

    @Test
    void filesAreAppendedRenamedAndDeleted() throws Exception {
        try (FileDisk disk = new FileDisk(folder)) {
            for (int i = 0; i < 12; i++) {
                disk.append("file" + i, ByteBuffer.wrap(new byte[] {(byte) i}));
            }
            disk.append("file0", ByteBuffer.wrap(new byte[] {9}));
            disk.rename("file0", "file1");
            disk.append("file1", ByteBuffer.wrap(new byte[] {8}));
            disk.sync("file1");
            disk.syncDirectory();
            assertArrayEquals(new byte[] {0, 9, 8}, disk.read("file1"));
            disk.delete("file1");
            disk.delete("file1");
            assertEquals(10, disk.list().size());
        }
    }
}
