// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Assigns attempts their memory and their priority on the engine, where engines heed these. */
final class ResourceAssigner {
    /** Deviations above the mean need in a memory grant: spilling to disk costs more. */
    private static final double GRANT_DEVIATIONS = 1.4;

    /** Worth for work, relative to the mean, from which a query has high priority. */
    private static final double HIGH_VALUE = 2.0;

    private static final int HIGH_PRIORITY = 3;
    private static final int USUAL_PRIORITY = 1;
    private static final int LOW_PRIORITY = 0;

    private final EngineCapabilities capabilities;
    private final RouterActions actions;
    private double meanWeight;
    private double meanWorkMicros;

    ResourceAssigner(EngineCapabilities capabilities, RouterActions actions) {
        this.capabilities = capabilities;
        this.actions = actions;
    }

    /** Takes in an accepted query. */
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

    /** Returns the need that answers taught, or 0 where none has and the engine chooses. */
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
        return query.dispatchValue() * meanWorkMicros > HIGH_VALUE * meanWeight
                ? HIGH_PRIORITY
                : USUAL_PRIORITY;
    }
}
