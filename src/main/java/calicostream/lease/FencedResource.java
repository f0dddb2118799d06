// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * A resource outside of the log that checks fencing tokens. An implementation rejects a token that
 * is lower than the highest token it has accepted for the lease, and stores the token in the same
 * atomic step as the action. {@link FencingTokenGuard} implements this rule; the implementation
 * makes the step atomic by a lock, a transaction or a single thread.
 *
 * @param <A> the action
 * @param <R> the action's result
 */
public interface FencedResource<A, R> {
    /**
     * Executes an action.
     *
     * @return the action's result, or {@link LeaseRejection.TokenOutdated} if the action was not
     *     executed
     */
    FencedResult<R> execute(String lease, long token, A action);

    /**
     * The result of an action, or the reason why it was rejected.
     *
     * @param result null if the action was rejected; may be null if it was completed
     * @param rejection null if the action was completed
     */
    record FencedResult<R>(R result, LeaseRejection rejection) {
        /** An action that was executed. */
        public static <R> FencedResult<R> completed(R result) {
            return new FencedResult<>(result, null);
        }

        /** An action that was not executed. */
        public static <R> FencedResult<R> rejected(LeaseRejection rejection) {
            return new FencedResult<>(null, rejection);
        }

        /** Whether the action was executed. */
        public boolean isCompleted() {
            return rejection == null;
        }
    }
}
