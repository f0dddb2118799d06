// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * Measures syncs, appends and recovery of a log against plain files of the same bytes, in turn in
 * one run. All ratios are durations of the log divided by those of the plain file.
 */
final class LogCostBenchmark {
    static final int LOG_MEGABYTES = 64;

    private static final int ROUNDS = 7;
    private static final int SYNCS = 60;
    private static final int ENTRIES_PER_SYNC = 10;
    private static final int ENTRY_BYTES = 512;
    private static final int ENTRIES_OF_ONE_SYNC = 20_000;
    private static final int ENTRIES_PER_MEGABYTE = (1 << 20) / ENTRY_BYTES;
    private static final int ENTRIES_PER_PLAIN_WRITE = 128;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Path folder;

    LogCostBenchmark(Path folder) {
        this.folder = folder;
    }

    /** Medians of the ratios of a sync of few entries and of appending many. */
    record WriteCosts(double syncRatio, double appendRatio) {}

    /** Medians of a recovery's duration and of its ratio to reading the files. */
    record RecoveryCosts(double millis, double ratio) {}

    private static double median(double[] sorted) {
        return sorted[sorted.length / 2];
    }

    /** Measures syncs and appends, and prints their spread. */
    WriteCosts measureWrites() throws IOException {
        double[] syncRatios = new double[ROUNDS];
        double[] appendRatios = new double[ROUNDS];
        double plainSyncNanos = 0;
        timeSyncs("warm");
        for (int i = 0; i < ROUNDS; i++) {
            double plainNanos = timePlainFile("plain" + i, SYNCS, ENTRIES_PER_SYNC);
            syncRatios[i] = timeSyncs("log" + i) / plainNanos;
            plainSyncNanos += plainNanos / SYNCS / ROUNDS;
            appendRatios[i] =
                    timeAppends("many" + i)
                            / timePlainFile("plainMany" + i, 1, ENTRIES_OF_ONE_SYNC);
        }
        Arrays.sort(syncRatios);
        Arrays.sort(appendRatios);
        System.out.printf(
                "a plain sync took %.3f ms; against it sync %.2f to %.2f, append %.2f to %.2f%n",
                plainSyncNanos / NANOS_PER_MILLI,
                syncRatios[0],
                syncRatios[ROUNDS - 1],
                appendRatios[0],
                appendRatios[ROUNDS - 1]);
        return new WriteCosts(median(syncRatios), median(appendRatios));
    }

    /**
     * Writes the same bytes, each batch with one sync, without records or markers: the least that
     * any log costs.
     */
    private double timePlainFile(String name, int syncs, int entriesPerSync) throws IOException {
        ByteBuffer entry = ByteBuffer.allocate(ENTRY_BYTES);
        ByteBuffer buffer = ByteBuffer.allocateDirect(ENTRY_BYTES * ENTRIES_PER_PLAIN_WRITE);
        long startNanos = System.nanoTime();
        try (FileChannel file =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND)) {
            for (int i = 0; i < syncs; i++) {
                for (int j = 0; j < entriesPerSync; j++) {
                    buffer.put(entry.clear());
                    boolean isLast = j == entriesPerSync - 1;
                    if (isLast || !buffer.hasRemaining()) {
                        file.write(buffer.flip());
                        buffer.clear();
                    }
                }
                file.force(false);
            }
        }
        return System.nanoTime() - startNanos;
    }

    private DurableLog openLog(String name) throws DurableException {
        return DurableLog.open(
                new FileDisk(folder.resolve(name)),
                new FileDisk(folder.resolve(name + "-marks")),
                CrashScenario.IDENTITY,
                LogOptions.DEFAULT);
    }

    private double timeSyncs(String name) throws IOException {
        try (DurableLog log = openLog(name)) {
            long startNanos = System.nanoTime();
            int index = 1;
            for (int i = 0; i < SYNCS; i++) {
                for (int j = 0; j < ENTRIES_PER_SYNC; j++) {
                    log.appendEntry(index, 1, new byte[ENTRY_BYTES]);
                    index++;
                }
                log.sync();
            }
            return System.nanoTime() - startNanos;
        }
    }

    private double timeAppends(String name) throws IOException {
        try (DurableLog log = openLog(name)) {
            long startNanos = System.nanoTime();
            for (int index = 1; index <= ENTRIES_OF_ONE_SYNC; index++) {
                log.appendEntry(index, 1, new byte[ENTRY_BYTES]);
            }
            log.sync();
            return System.nanoTime() - startNanos;
        }
    }

    /** Measures the opening of a log of {@link #LOG_MEGABYTES}, and prints its spread. */
    RecoveryCosts measureRecovery() throws IOException {
        writeLongLog();
        double[] durations = new double[ROUNDS];
        double[] ratios = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            double readingNanos = timeReadingFiles();
            durations[i] = timeOpening();
            ratios[i] = durations[i] / readingNanos;
        }
        Arrays.sort(durations);
        Arrays.sort(ratios);
        System.out.printf(
                "recovery %.0f to %.0f ms, %.2f to %.2f of reading the files%n",
                durations[0] / NANOS_PER_MILLI,
                durations[ROUNDS - 1] / NANOS_PER_MILLI,
                ratios[0],
                ratios[ROUNDS - 1]);
        return new RecoveryCosts(median(durations) / NANOS_PER_MILLI, median(ratios));
    }

    private void writeLongLog() throws IOException {
        try (DurableLog log = openLog("long")) {
            int index = 1;
            for (int megabyte = 0; megabyte < LOG_MEGABYTES; megabyte++) {
                for (int j = 0; j < ENTRIES_PER_MEGABYTE; j++) {
                    log.appendEntry(index, 1, new byte[ENTRY_BYTES]);
                    index++;
                }
                log.sync();
            }
        }
    }

    private double timeReadingFiles() throws IOException {
        long startNanos = System.nanoTime();
        long bytes = 0;
        try (Stream<Path> files = Files.list(folder.resolve("long"))) {
            for (Path file : files.toList()) {
                bytes += Files.readAllBytes(file).length;
            }
        }
        double durationNanos = System.nanoTime() - startNanos;
        if (bytes < (long) LOG_MEGABYTES << 20) {
            throw new IllegalStateException("the log has " + bytes + " bytes");
        }
        return durationNanos;
    }

    private double timeOpening() throws IOException {
        long startNanos = System.nanoTime();
        try (DurableLog log = openLog("long")) {
            double durationNanos = System.nanoTime() - startNanos;
            List<RecoveredState.Entry> entries = log.recoveredState().entries();
            if (entries.size() != LOG_MEGABYTES * ENTRIES_PER_MEGABYTE) {
                throw new IllegalStateException("the log has " + entries.size() + " entries");
            }
            return durationNanos;
        }
    }
}
