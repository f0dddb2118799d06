// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * {@code over}: the client has its answer. {@code workMs}, {@code memoryMb}: what it took, 0: not
 * told.
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
