// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Limits that the deployment sets on what a gateway does for a query.
 *
 * @param probes whether engines may be probed for their load
 * @param cancel whether attempts may be cancelled
 * @param maxAttempts maximum number of attempts for a query, including the first
 */
public record AttemptLimits(boolean probes, boolean cancel, int maxAttempts) {}
