// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * What the deployment allows a gateway to do for a query.
 *
 * @param probes whether engines may be probed for their load
 * @param cancel whether attempts may be cancelled
 * @param maxAttempts attempts for a query, the first included
 */
public record AttemptLimits(boolean probes, boolean cancel, int maxAttempts) {}
