// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * A class of queries with the same requirements and rules.
 *
 * @param latencyObjectiveUs time within which an answer has its full value, in microseconds
 * @param latencyObjectiveStretch time added to the objective, as a multiple of the query's expected
 *     run time on its threads
 * @param deadlineUs time after which an answer has no value, in microseconds
 * @param priorityWeight value of an answer, relative to other classes
 * @param lateWeightFactor share of the value that an answer keeps after the latency objective
 * @param idempotency whether a query may run more than once
 * @param idempotencyScope engines that deduplicate repeats by idempotency key
 * @param retryWindowUs time for which they do so, in microseconds
 * @param orderedByKey whether queries of a key run one at a time in the order accepted
 * @param stream whether answers are streamed
 * @param threads number of threads that a query runs on
 * @param load whether a query loads its tables
 * @param waitsForLoads whether a query waits for a load of its tables on the same engine
 * @param zones indexes of the zones where queries may run, empty for all
 * @param kinds indexes of the kinds of engines where queries may run, empty for all
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
    /** Returns a non-idempotent copy of the class. */
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
