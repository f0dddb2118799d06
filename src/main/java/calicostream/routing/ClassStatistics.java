// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Collects statistics on the work, memory and run time of the queries of one class. */
final class ClassStatistics {
    /** Number of answers after which the run time of a class is used instead of the default. */
    private static final int MIN_RELIABLE_RUNS = 10;

    /** Work in core-microseconds assumed for a query of a class without statistics. */
    private static final double DEFAULT_WORK_MICROS = 1_000_000;

    /**
     * Factor per answer by which the minimum run time of a class may rise, so that old minimums
     * expire.
     */
    private static final double MIN_RUN_GROWTH = 1.002;

    private final LogRatioEstimator workRatio = new LogRatioEstimator();
    private final LogRatioEstimator memoryRatio = new LogRatioEstimator();
    private final DecayingSum requestedWork = new DecayingSum();
    private double typicalWorkMicros;
    private double averageRunMicros;
    private double minRunMicros;
    private double admittedWorkMicros;
    private int workSamples;
    private int runSamples;

    /**
     * Returns the work of a query in core-microseconds: its estimate corrected by the ratio learned
     * from answers, or the typical work of the class if it has no estimate.
     */
    double expectedWorkMicros(Query query) {
        double typical = typicalWorkMicros > 0 ? typicalWorkMicros : DEFAULT_WORK_MICROS;
        return query.estimatedWorkUs() <= 0
                ? typical
                : query.estimatedWorkUs() * workRatio.upperRatio(0);
    }

    /** Records the measured or expected work of one query. */
    void recordWork(double workMicros) {
        workSamples++;
        typicalWorkMicros +=
                (workMicros - typicalWorkMicros) * LearningRate.afterSamples(workSamples);
    }

    /**
     * Records an accepted query and returns the work in core-microseconds that slow start charges
     * for each query of the class.
     */
    double recordRequest(long now, double expectedWorkMicros, int threads) {
        // The run time includes waits, so it is an upper bound for uncorrected estimates.
        double runWork = averageRunMicros * threads;
        boolean estimatesUncorrected = !workRatio.hasSamples() && runSamples >= MIN_RELIABLE_RUNS;
        double limit = estimatesUncorrected ? runWork : typicalWorkMicros;
        boolean workNotMeasured = typicalWorkMicros <= 0 || minRunMicros > 0;
        admittedWorkMicros =
                workNotMeasured
                        ? Math.max(expectedWorkMicros, runWork)
                        : Math.min(limit, typicalWorkMicros);
        requestedWork.add(now, admittedWorkMicros);
        return admittedWorkMicros;
    }

    /** Records the run time of a successful attempt. */
    void recordRunTime(long elapsedMicros) {
        runSamples++;
        averageRunMicros +=
                (elapsedMicros - averageRunMicros) * LearningRate.afterSamples(runSamples);
    }

    /** Records the measured work of a query and its estimate, if it has one. */
    void recordMeasuredWork(double workMicros, double estimatedWorkMicros) {
        workRatio.record(workMicros, estimatedWorkMicros);
        if (estimatedWorkMicros <= 0) {
            recordWork(workMicros);
        }
    }

    /**
     * Infers the typical work from the minimum run time if neither estimates nor answers report
     * work. At low load, run time times threads is an upper bound for the work.
     */
    void inferWorkFromRunTimes(int threads) {
        if (runSamples >= MIN_RELIABLE_RUNS) {
            double bound = minRunMicros > 0 ? minRunMicros * MIN_RUN_GROWTH : averageRunMicros;
            minRunMicros = Math.min(averageRunMicros, bound);
            typicalWorkMicros = minRunMicros * threads;
        }
    }

    void recordMemory(double usedMegabytes, double estimatedMegabytes) {
        memoryRatio.record(usedMegabytes, estimatedMegabytes);
    }

    /**
     * Restores a minimum run time learned by another process, unless this one has reliable
     * statistics already.
     */
    void restore(double runMicros, int threads) {
        if (runMicros > 0 && runSamples < MIN_RELIABLE_RUNS) {
            runSamples = MIN_RELIABLE_RUNS;
            averageRunMicros = runMicros;
            minRunMicros = runMicros;
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

    double minRunMicros() {
        return minRunMicros;
    }

    double admittedWorkMicros() {
        return admittedWorkMicros;
    }

    double requestedWork(long now) {
        return requestedWork.get(now);
    }
}
