// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * A progress report of an attempt that runs.
 *
 * @param query id of the query
 * @param attempt number of the attempt, from 0
 * @param kind what the report is about
 * @param amount the part done from 0 to 1, or the megabytes missing
 */
public record QueryProgress(long query, int attempt, ProgressKind kind, double amount) {}
