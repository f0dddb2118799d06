// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.CrashTrials.CrashKind;
import calicostream.durable.TrialOutcome.Verdict;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Runs crash and silent-fault trials for as long as the time allows, then measures the costs of a
 * log; the last line has the figures. Arguments: SEED (1) and FOLDER (the system's for temporary
 * files; where that is in memory, a sync costs nothing).
 */
public final class DurableMeasure {
    private static final long CRASH_TRIALS_END_NANOS = 14_000_000_000L;
    private static final long ALL_TRIALS_END_NANOS = 24_000_000_000L;

    private final Path folder;
    private long crashPoints;
    private long injectedFaults;
    private long detectedFaults;
    private long harmlessFaults;
    private long lost;
    private long fabricated;
    private long falseAlarms;

    private DurableMeasure(Path folder) {
        this.folder = folder;
    }

    /** Runs all trials and measurements. */
    public static void main(String[] args) throws IOException {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        Path folder =
                args.length > 1
                        ? Files.createTempDirectory(Path.of(args[1]), "durable")
                        : Files.createTempDirectory("durable");
        try {
            new DurableMeasure(folder).run(seed);
        } finally {
            deleteAll(folder);
        }
    }

    private static void deleteAll(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void run(long seed) throws IOException {
        long startNanos = System.nanoTime();
        long lastCrashSeed = runCrashTrials(seed, startNanos);
        long lastFaultSeed = runSilentFaultTrials(seed, startNanos);
        System.out.println(
                "crashes of seeds "
                        + seed
                        + " to "
                        + lastCrashSeed
                        + ", silent faults of seeds "
                        + seed
                        + " to "
                        + lastFaultSeed);
        LogCostBenchmark benchmark = new LogCostBenchmark(folder);
        LogCostBenchmark.WriteCosts writeCosts = benchmark.measureWrites();
        LogCostBenchmark.RecoveryCosts recoveryCosts = benchmark.measureRecovery();
        System.out.printf(
                "durable crash_points=%d lies_told=%d lies_noticed=%d lies_harmless=%d lost=%d"
                        + " invented=%d false_alarms=%d sync_ratio=%.2f append_ratio=%.2f"
                        + " recovery_ratio=%.2f recovery_ms=%.0f log_mb=%d seed=%d%n",
                crashPoints,
                injectedFaults,
                detectedFaults,
                harmlessFaults,
                lost,
                fabricated,
                falseAlarms,
                writeCosts.syncRatio(),
                writeCosts.appendRatio(),
                recoveryCosts.ratio(),
                recoveryCosts.millis(),
                LogCostBenchmark.LOG_MEGABYTES,
                seed);
    }

    /** Returns the last seed. */
    private long runCrashTrials(long firstSeed, long startNanos) throws DurableException {
        long seed = firstSeed;
        while (System.nanoTime() - startNanos < CRASH_TRIALS_END_NANOS) {
            int calls = CrashTrials.countDiskCalls(seed);
            for (int call = 1; call <= calls; call++) {
                count(CrashTrials.run(seed, call, CrashKind.ofNumber(call)));
                crashPoints++;
            }
            seed++;
        }
        return seed - 1;
    }

    /** Returns the last seed. */
    private long runSilentFaultTrials(long firstSeed, long startNanos) throws DurableException {
        long seed = firstSeed;
        while (System.nanoTime() - startNanos < ALL_TRIALS_END_NANOS) {
            for (SilentFault fault : SilentFault.values()) {
                TrialOutcome outcome = SilentFaultTrial.run(seed, fault);
                if (outcome.verdict() == Verdict.INTACT) {
                    harmlessFaults++;
                } else {
                    injectedFaults++;
                }
                if (outcome.verdict() == Verdict.DETECTED) {
                    detectedFaults++;
                }
                count(outcome);
            }
            seed++;
        }
        return seed - 1;
    }

    private void count(TrialOutcome outcome) {
        switch (outcome.verdict()) {
            case LOST -> lost++;
            case FABRICATED -> fabricated++;
            case FALSE_ALARM -> falseAlarms++;
            default -> {
                return;
            }
        }
        System.out.println(outcome.verdict() + " " + outcome.description());
    }
}
