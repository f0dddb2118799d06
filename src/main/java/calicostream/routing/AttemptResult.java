// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * The end of an attempt.
 *
 * @param query id of the query
 * @param attempt number of the attempt, from 0
 * @param engine id of the engine
 * @param outcome how it ended
 * @param requestAnswered whether the client has its final answer
 * @param elapsedUs time since the attempt started, in microseconds
 * @param workMs work that the query took in core-milliseconds, 0 if not reported
 * @param memoryMb memory that the query took in megabytes, 0 if not reported
 * @param loadReport the engine's load report, or null if none came
 */
public record AttemptResult(
        long query,
        int attempt,
        long engine,
        AttemptOutcome outcome,
        boolean requestAnswered,
        long elapsedUs,
        double workMs,
        double memoryMb,
        LoadReport loadReport) {}
