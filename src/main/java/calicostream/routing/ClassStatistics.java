// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Learns what the queries of one class need: work, memory and run time. */
final class ClassStatistics {
    /** Answers after which the run time of a class is more reliable than the assumption. */
    private static final int RELIABLE_RUNS = 10;

    /** Work of a query, in core-microseconds, of whose class nothing is known yet. */
    private static final double UNKNOWN_WORK_MICROS = 1_000_000;

    /** Growth with each answer by which the least run time of a class is forgotten. */
    private static final double LEAST_RUN_GROWTH = 1.002;

    private final LogRatioEstimator workRatio = new LogRatioEstimator();
    private final LogRatioEstimator memoryRatio = new LogRatioEstimator();
    private final DecayingSum requestedWork = new DecayingSum();
    private double typicalWorkMicros;
    private double averageRunMicros;
    private double leastRunMicros;
    private double admittedWorkMicros;
    private int workSamples;
    private int runSamples;

    /**
     * Returns the work of a query in core-microseconds: its estimate corrected by what answers
     * taught, or the typical work of the class if it has no estimate.
     */
    double expectedWorkMicros(Query query) {
        double typical = typicalWorkMicros > 0 ? typicalWorkMicros : UNKNOWN_WORK_MICROS;
        return query.estimatedWorkUs() <= 0
                ? typical
                : query.estimatedWorkUs() * workRatio.upperRatio(0);
    }

    /** Takes in the work of one query, measured or expected. */
    void recordWork(double workMicros) {
        workSamples++;
        typicalWorkMicros +=
                (workMicros - typicalWorkMicros) * LearningRate.afterSamples(workSamples);
    }

    /**
     * Takes in an accepted query and returns the work that the slow start of engines counts for
     * each query of the class.
     */
    double recordRequest(long now, double expectedWorkMicros, int threads) {
        // The run time includes waits; it bounds estimates that no answer has corrected.
        double runWork = averageRunMicros * threads;
        boolean uncorrected = !workRatio.hasSamples() && runSamples >= RELIABLE_RUNS;
        double limit = uncorrected ? runWork : typicalWorkMicros;
        boolean assumed = typicalWorkMicros <= 0 || leastRunMicros > 0;
        admittedWorkMicros =
                assumed
                        ? Math.max(expectedWorkMicros, runWork)
                        : Math.min(limit, typicalWorkMicros);
        requestedWork.add(now, admittedWorkMicros);
        return admittedWorkMicros;
    }

    /** Takes in the run time of a successful attempt. */
    void recordRun(long elapsedMicros) {
        runSamples++;
        averageRunMicros +=
                (elapsedMicros - averageRunMicros) * LearningRate.afterSamples(runSamples);
    }

    /** Takes in the measured work of a query, of which there may be an estimate. */
    void recordMeasuredWork(double workMicros, double estimatedWorkMicros) {
        workRatio.record(workMicros, estimatedWorkMicros);
        if (estimatedWorkMicros <= 0) {
            recordWork(workMicros);
        }
    }

    /**
     * Takes the least run time for the work, where neither estimates nor answers tell of work: a
     * query needs at most what its threads need where little else runs.
     */
    void assumeWorkFromRuns(int threads) {
        if (runSamples >= RELIABLE_RUNS) {
            double bound =
                    leastRunMicros > 0 ? leastRunMicros * LEAST_RUN_GROWTH : averageRunMicros;
            leastRunMicros = Math.min(averageRunMicros, bound);
            typicalWorkMicros = leastRunMicros * threads;
        }
    }

    void recordMemory(double usedMegabytes, double estimatedMegabytes) {
        memoryRatio.record(usedMegabytes, estimatedMegabytes);
    }

    /** Takes over a least run time that another process learned, if this one knows nothing yet. */
    void restore(double runMicros, int threads) {
        if (runMicros > 0 && runSamples < RELIABLE_RUNS) {
            runSamples = RELIABLE_RUNS;
            averageRunMicros = runMicros;
            leastRunMicros = runMicros;
            typicalWorkMicros = runMicros * threads;
        }
    }

    LogRatioEstimator workRatio() {
        return workRatio;
    }

    LogRatioEstimator memoryRatio() {
        return memoryRatio;
    }

    double typicalWorkMicros() {
        return typicalWorkMicros;
    }

    double averageRunMicros() {
        return averageRunMicros;
    }

    double leastRunMicros() {
        return leastRunMicros;
    }

    double admittedWorkMicros() {
        return admittedWorkMicros;
    }

    double requestedWork(long now) {
        return requestedWork.get(now);
    }
}
