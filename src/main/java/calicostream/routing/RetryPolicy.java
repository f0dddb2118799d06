// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Decides whether a query may be retried, and on which engines, based on its idempotency, its
 * attempts and the time left.
 */
final class RetryPolicy {
    private final AttemptLimits limits;
    private final RetryBudget budget;
    private final WorkEstimator work;

    RetryPolicy(AttemptLimits limits, RetryBudget budget, WorkEstimator work) {
        this.limits = limits;
        this.budget = budget;
        this.work = work;
    }

    /** Returns whether a query may be retried after an attempt failed with the given outcome. */
    boolean mayRetry(long now, QueryState query, AttemptOutcome outcome) {
        boolean exhausted =
                query.attempts() >= limits.maxAttempts()
                        || outcome == AttemptOutcome.NOT_STARTED
                        || query.isErroneous();
        return !exhausted && mayRunAgain(now, query) && now < query.deadline();
    }

    private static boolean mayRunAgain(long now, QueryState query) {
        if (!query.mayHaveRun()) {
            return true;
        }
        return switch (query.queryClass().idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_WITH_KEY -> now < query.retryWindowEnd();
            case NON_IDEMPOTENT -> false;
        };
    }

    /** Returns whether a query may run on an engine, considering where it may have run before. */
    boolean mayRunOn(long now, QueryState query, EngineEndpoint endpoint) {
        if (!query.mayHaveRun() || query.isIdempotent()) {
            return true;
        }
        return mayRunAgain(now, query) && deduplicates(query, endpoint);
    }

    private static boolean deduplicates(QueryState query, EngineEndpoint endpoint) {
        return switch (query.queryClass().idempotencyScope()) {
            case ALL -> true;
            case ZONE -> endpoint.zone() == query.firstRunEndpoint().zone();
            case CELL -> endpoint.cell() == query.firstRunEndpoint().cell();
        };
    }

    /** Returns whether a running query may be cancelled and restarted on another engine. */
    boolean mayMigrate(long now, QueryState query) {
        return limits.cancel()
                && query.isIdempotent()
                && query.attempts() < limits.maxAttempts()
                && budget.allowsRetry(now)
                && now + work.expectedRunMicros(query) < query.deadline();
    }

    /** Returns whether a retry by the client is safe. */
    boolean isClientRetrySafe(QueryState query) {
        if (query.isIdempotent() || !query.hasAttempt() && !query.mayHaveRun()) {
            return true;
        }
        return query.queryClass().idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && query.queryClass().idempotencyScope() == IdempotencyScope.ALL
                && !query.hasAttempt();
    }
}
