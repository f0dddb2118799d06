// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.List;

/** Estimates the work and the run time of queries from the answers received. */
final class WorkEstimator {
    /** Maximum slowdown recorded for one answer; limits the effect of outliers. */
    private static final double MAX_SLOWDOWN = 6;

    private static final double INITIAL_SLOWDOWN = 1.3;
    private static final double MICROS_PER_MILLI = 1000;

    private final List<QueryClass> classes;
    private final List<ClassStatistics> statistics = new ArrayList<>();
    private final DecayingSum requestedWork = new DecayingSum();
    private double slowdown = INITIAL_SLOWDOWN;

    WorkEstimator(List<QueryClass> classes) {
        this.classes = classes;
        classes.forEach(queryClass -> statistics.add(new ClassStatistics()));
    }

    ClassStatistics statistics(int queryClass) {
        return statistics.get(queryClass);
    }

    /** Returns the statistics of all classes in the order of the settings. */
    List<ClassStatistics> allStatistics() {
        return statistics;
    }

    /** Records an accepted query. */
    void recordRequest(long now, QueryState query) {
        double work =
                query.statistics()
                        .recordRequest(
                                now, query.expectedWorkMicros(), query.queryClass().threads());
        requestedWork.add(now, work);
    }

    /** Returns the recently requested work of all classes, in core-microseconds. */
    double requestedWork(long now) {
        return requestedWork.get(now);
    }

    /** Returns the expected run time of the query from its start, in microseconds. */
    double expectedRunMicros(QueryState query) {
        return query.expectedWorkMicros() / query.queryClass().threads() * slowdown;
    }

    /** Records the run time, work and memory reported with a successful attempt. */
    void recordAnswer(QueryState query, AttemptResult result) {
        ClassStatistics classStatistics = query.statistics();
        int threads = query.queryClass().threads();
        double estimatedWorkMicros = query.request().estimatedWorkUs();
        classStatistics.recordRunTime(result.elapsedUs());
        double workMicros = result.workMs() * MICROS_PER_MILLI;
        if (workMicros > 0) {
            double threadMicros = result.elapsedUs() * threads;
            slowdown +=
                    (Math.min(MAX_SLOWDOWN, threadMicros / workMicros) - slowdown)
                            * LearningRate.MINIMUM;
            classStatistics.recordMeasuredWork(workMicros, estimatedWorkMicros);
        }
        if (workMicros <= 0 && estimatedWorkMicros <= 0) {
            classStatistics.inferWorkFromRunTimes(threads);
        }
        classStatistics.recordMemory(result.memoryMb(), query.request().estimatedMemoryMb());
    }

    /** Returns the minimum run time learned for each class, in the order of the settings. */
    double[] learnedRunTimes() {
        return statistics.stream().mapToDouble(ClassStatistics::minRunMicros).toArray();
    }

    /** Restores run times learned by another process; see {@link #learnedRunTimes}. */
    void restoreLearnedRunTimes(double[] runTimesMicros) {
        for (int i = 0; i < Math.min(runTimesMicros.length, statistics.size()); i++) {
            statistics.get(i).restore(runTimesMicros[i], classes.get(i).threads());
        }
    }
}
