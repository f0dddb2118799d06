// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * The result of a finished attempt.
 *
 * @param query id of the query
 * @param attempt number of the attempt, from 0
 * @param engine id of the engine
 * @param outcome outcome of the attempt
 * @param requestAnswered whether the client has received its final answer
 * @param elapsedUs time since the attempt started, in microseconds
 * @param workMs work of the query in core-milliseconds, 0 if not reported
 * @param memoryMb memory used by the query in megabytes, 0 if not reported
 * @param loadReport load report of the engine, or null if there was none
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
