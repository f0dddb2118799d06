// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * A class of queries with the same needs and rules.
 *
 * @param latencyObjectiveUs time in which an answer has its full worth, in microseconds
 * @param latencyObjectiveStretch time added to it, relative to the query's run on its threads
 * @param deadlineUs time after which an answer has no worth, in microseconds
 * @param priorityWeight worth of an answer, relative to those of other classes
 * @param lateWeightFactor part of the worth left to an answer after the latency objective
 * @param idempotency whether a query may run more than once
 * @param idempotencyScope which engines discard repeats by idempotency key
 * @param retryWindowUs time in which they do so, in microseconds
 * @param orderedByKey whether queries of a key run one at a time in the order accepted
 * @param stream whether answers are streamed
 * @param threads threads that a query runs on
 * @param load whether a query loads its tables
 * @param waitsForLoads whether a query waits for a load of its tables on the same engine
 * @param zones indexes of the zones where it may run, empty for all
 * @param kinds indexes of the kinds of engines where it may run, empty for all
 */
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
    /** Returns the same class, whose queries may not run more than once. */
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
