// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * A progress report of a running attempt.
 *
 * @param query id of the query
 * @param attempt number of the attempt, from 0
 * @param kind kind of the report
 * @param amount completed share from 0 to 1, or the missing megabytes
 */
public record QueryProgress(long query, int attempt, ProgressKind kind, double amount) {}
