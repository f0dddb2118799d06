// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** {@code amount} is the share done, or the megabytes missing. */
public record QueryProgress(long query, int attempt, ProgressKind kind, double amount) {}
