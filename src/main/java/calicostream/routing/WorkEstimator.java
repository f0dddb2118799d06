// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.List;

/** Estimates how much work queries need and how long they would run, from what answers taught. */
final class WorkEstimator {
    /** Largest slowdown that one answer may suggest, so that a stray one does not count. */
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

    /** Takes in an accepted query. */
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

    /** Returns how long the query would run from its start, in microseconds. */
    double freshRunMicros(QueryState query) {
        return query.expectedWorkMicros() / query.queryClass().threads() * slowdown;
    }

    /** Learns from a successful attempt. */
    void recordAnswer(QueryState query, AttemptResult result) {
        ClassStatistics known = query.statistics();
        int threads = query.queryClass().threads();
        double estimatedWorkMicros = query.request().estimatedWorkUs();
        known.recordRun(result.elapsedUs());
        double workMicros = result.workMs() * MICROS_PER_MILLI;
        if (workMicros > 0) {
            double threadMicros = result.elapsedUs() * threads;
            slowdown +=
                    (Math.min(MAX_SLOWDOWN, threadMicros / workMicros) - slowdown)
                            * LearningRate.MINIMUM;
            known.recordMeasuredWork(workMicros, estimatedWorkMicros);
        }
        if (workMicros <= 0 && estimatedWorkMicros <= 0) {
            known.assumeWorkFromRuns(threads);
        }
        known.recordMemory(result.memoryMb(), query.request().estimatedMemoryMb());
    }

    /** Returns the least run time learned for each class, in the order of the settings. */
    double[] learnedRunTimes() {
        return statistics.stream().mapToDouble(ClassStatistics::leastRunMicros).toArray();
    }

    /** Takes over run times that another process learned; see {@link #learnedRunTimes}. */
    void restoreLearnedRunTimes(double[] runTimesMicros) {
        for (int i = 0; i < Math.min(runTimesMicros.length, statistics.size()); i++) {
            statistics.get(i).restore(runTimesMicros[i], classes.get(i).threads());
        }
    }
}
