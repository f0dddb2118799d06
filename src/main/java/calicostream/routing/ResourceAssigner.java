// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Assigns a memory grant and a priority to attempts, if engines support these. */
final class ResourceAssigner {
    /**
     * Standard deviations above the mean demand in a memory grant; spilling to disk costs more than
     * an unused grant.
     */
    private static final double GRANT_DEVIATIONS = 1.4;

    /** Dispatch value relative to the mean above which a query has high priority. */
    private static final double HIGH_VALUE_RATIO = 2.0;

    private static final int HIGH_PRIORITY = 3;
    private static final int NORMAL_PRIORITY = 1;
    private static final int LOW_PRIORITY = 0;

    private final EngineCapabilities capabilities;
    private final RouterActions actions;
    private double meanWeight;
    private double meanWorkMicros;

    ResourceAssigner(EngineCapabilities capabilities, RouterActions actions) {
        this.capabilities = capabilities;
        this.actions = actions;
    }

    /** Records an accepted query in the means. */
    void recordRequest(QueryState query) {
        double weight = query.queryClass().priorityWeight();
        meanWeight += (weight - meanWeight) * LearningRate.MINIMUM;
        meanWorkMicros += (query.expectedWorkMicros() - meanWorkMicros) * LearningRate.MINIMUM;
    }

    /** Assigns the resources of a query's next attempt. */
    void assign(long now, QueryState query) {
        if (capabilities.memoryGrants() || capabilities.priorities()) {
            actions.assignResources(query.id(), memoryMegabytes(query), priority(now, query));
        }
    }

    /**
     * Returns the memory demand learned from answers, or 0 without samples, so that the engine
     * decides.
     */
    private static double memoryMegabytes(QueryState query) {
        LogRatioEstimator memoryRatio = query.statistics().memoryRatio();
        return memoryRatio.hasSamples()
                ? query.request().estimatedMemoryMb() * memoryRatio.upperRatio(GRANT_DEVIATIONS)
                : 0;
    }

    private int priority(long now, QueryState query) {
        if (query.isOverQuota() || now > query.due()) {
            return LOW_PRIORITY;
        }
        return query.dispatchValue() * meanWorkMicros > HIGH_VALUE_RATIO * meanWeight
                ? HIGH_PRIORITY
                : NORMAL_PRIORITY;
    }
}
