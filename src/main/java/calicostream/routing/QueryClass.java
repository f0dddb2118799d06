// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/** A class of queries; {@code zones} and {@code kinds} are empty where it may run anywhere. */
public record QueryClass(
        long latencyObjectiveUs,
        double latencyObjectiveStretch,
        long deadlineUs,
        double priorityWeight,
        double lateWeightFactor,
        Idempotency idempotency,
        IdempotencyScope idempotencyScope,
        long retryWindowUs,
        boolean orderedByKey,
        boolean stream,
        int threads,
        boolean load,
        boolean waitsForLoads,
        List<Integer> zones,
        List<Integer> kinds) {
    /** The same where no repeat is allowed. */
    public QueryClass asNonIdempotent() {
        return new QueryClass(
                latencyObjectiveUs,
                latencyObjectiveStretch,
                deadlineUs,
                priorityWeight,
                lateWeightFactor,
                Idempotency.NON_IDEMPOTENT,
                idempotencyScope,
                retryWindowUs,
                orderedByKey,
                stream,
                threads,
                load,
                waitsForLoads,
                zones,
                kinds);
    }
}
