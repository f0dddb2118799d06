// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.CrashTrials.Outcome;
import calicostream.durable.CrashTrials.Verdict;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Crashes and lies for as long as the time allows, then costs against a plain file in the same run,
 * in turn; the last line holds the figures. SEED (1) and FOLDER (the system's for temporary files;
 * where that is in memory, a sync costs nothing) may be given.
 */
public final class DurableMeasure {

    private static final int ROUNDS = 7;
    private static final int SYNCS = 60;
    private static final int BATCH = 10;
    private static final int ENTRY = 512;
    private static final int MANY = 20_000;
    private static final int LOG_MB = 64;

    private final Path folder;
    private long crashPoints;
    private long told;
    private long noticed;
    private long harmless;
    private long lost;
    private long invented;
    private long falseAlarms;

    private DurableMeasure(Path folder) {
        this.folder = folder;
    }

    public static void main(String[] args) throws IOException {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        Path folder =
                args.length > 1
                        ? Files.createTempDirectory(Path.of(args[1]), "durable")
                        : Files.createTempDirectory("durable");
        try {
            new DurableMeasure(folder).run(seed);
        } finally {
            clear(folder);
        }
    }

    private static void clear(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
        }
    }

    private void run(long seed) throws IOException {
        long began = System.nanoTime();
        long at = seed;
        for (; System.nanoTime() - began < 14_000_000_000L; at++) {
            int calls = CrashTrials.countDiskCalls(at);
            for (int call = 1; call <= calls; call++, crashPoints++)
                count(CrashTrials.runCrash(at, call, call % 4));
        }
        long lies = seed;
        for (; System.nanoTime() - began < 24_000_000_000L; lies++)
            for (CrashTrials.SilentFault lie : CrashTrials.SilentFault.values()) {
                Outcome outcome = CrashTrials.runSilentFault(lies, lie);
                if (outcome.verdict() == Verdict.INTACT) harmless++;
                else told++;
                if (outcome.verdict() == Verdict.DETECTED) noticed++;
                count(outcome);
            }
        System.out.println(
                "crashes of seeds "
                        + seed
                        + " to "
                        + (at - 1)
                        + ", lies of seeds "
                        + seed
                        + " to "
                        + (lies - 1));
        double[] sync = new double[ROUNDS];
        double[] append = new double[ROUNDS];
        double plainSync = 0;
        batches("warm");
        for (int i = 0; i < ROUNDS; i++) {
            double plain = plain("plain" + i, SYNCS, BATCH);
            sync[i] = batches("log" + i) / plain;
            plainSync += plain / SYNCS / ROUNDS;
            append[i] = many("many" + i) / plain("plainMany" + i, 1, MANY);
        }
        Arrays.sort(sync);
        Arrays.sort(append);
        System.out.printf(
                "a plain sync took %.3f ms; against it sync %.2f to %.2f, append %.2f to %.2f%n",
                plainSync / 1e6, sync[0], sync[ROUNDS - 1], append[0], append[ROUNDS - 1]);
        double[] recovery = recovery();
        System.out.printf(
                "durable crash_points=%d lies_told=%d lies_noticed=%d lies_harmless=%d lost=%d"
                        + " invented=%d false_alarms=%d sync_ratio=%.2f append_ratio=%.2f"
                        + " recovery_ratio=%.2f recovery_ms=%.0f log_mb=%d seed=%d%n",
                crashPoints,
                told,
                noticed,
                harmless,
                lost,
                invented,
                falseAlarms,
                sync[ROUNDS / 2],
                append[ROUNDS / 2],
                recovery[1],
                recovery[0],
                LOG_MB,
                seed);
    }

    private void count(Outcome outcome) {
        switch (outcome.verdict()) {
            case INTACT, DETECTED -> {
                return;
            }
            case LOST -> lost++;
            case FABRICATED -> invented++;
            case FALSE_ALARM -> falseAlarms++;
        }
        System.out.println(outcome.verdict() + " " + outcome.description());
    }

    /**
     * The same bytes, each batch in one write and one sync, without records or marks: the least
     * that any log costs.
     */
    private double plain(String name, int syncs, int batch) throws IOException {
        ByteBuffer entry = ByteBuffer.allocate(ENTRY);
        ByteBuffer out = ByteBuffer.allocateDirect(ENTRY * 128);
        long began = System.nanoTime();
        try (FileChannel file =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND)) {
            for (int i = 0; i < syncs; i++) {
                for (int j = 0; j < batch; j++) {
                    out.put(entry.clear());
                    if (out.hasRemaining() && j < batch - 1) continue;
                    file.write(out.flip());
                    out.clear();
                }
                file.force(false);
            }
        }
        return System.nanoTime() - began;
    }

    private DurableLog log(String name) throws DurableException {
        return DurableLog.open(
                new FileDisk(folder.resolve(name)),
                new FileDisk(folder.resolve(name + "-marks")),
                CrashScenario.IDENTITY,
                LogOptions.DEFAULT);
    }

    private double batches(String name) throws IOException {
        try (DurableLog log = log(name)) {
            long began = System.nanoTime();
            for (int i = 0, index = 1; i < SYNCS; i++) {
                for (int j = 0; j < BATCH; j++) log.appendEntry(index++, 1, new byte[ENTRY]);
                log.sync();
            }
            return System.nanoTime() - began;
        }
    }

    private double many(String name) throws IOException {
        try (DurableLog log = log(name)) {
            long began = System.nanoTime();
            for (int index = 1; index <= MANY; index++) log.appendEntry(index, 1, new byte[ENTRY]);
            log.sync();
            return System.nanoTime() - began;
        }
    }

    private double[] recovery() throws IOException {
        try (DurableLog log = log("long")) {
            int index = 1;
            for (int mb = 0; mb < LOG_MB; mb++) {
                for (int j = 0; j < (1 << 20) / ENTRY; j++)
                    log.appendEntry(index++, 1, new byte[ENTRY]);
                log.sync();
            }
        }
        double[] took = new double[ROUNDS];
        double[] ratio = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            long began = System.nanoTime();
            long bytes = 0;
            try (Stream<Path> files = Files.list(folder.resolve("long"))) {
                for (Path file : files.toList()) bytes += Files.readAllBytes(file).length;
            }
            double reading = System.nanoTime() - began;
            began = System.nanoTime();
            try (DurableLog log = log("long")) {
                took[i] = System.nanoTime() - began;
                List<RecoveredState.Entry> entries = log.recoveredState().entries();
                if (entries.size() != LOG_MB * ((1 << 20) / ENTRY))
                    throw new IllegalStateException(
                            "entries " + entries.size() + " of " + bytes + " bytes");
            }
            ratio[i] = took[i] / reading;
        }
        Arrays.sort(took);
        Arrays.sort(ratio);
        System.out.printf(
                "recovery %.0f to %.0f ms, %.2f to %.2f of reading the files%n",
                took[0] / 1e6, took[ROUNDS - 1] / 1e6, ratio[0], ratio[ROUNDS - 1]);
        return new double[] {took[ROUNDS / 2] / 1e6, ratio[ROUNDS / 2]};
    }
}
