// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** What the deployment allows. */
public record AttemptLimits(boolean probes, boolean cancel, int maxAttempts) {}
