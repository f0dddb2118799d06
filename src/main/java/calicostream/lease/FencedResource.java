// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * A resource that checks tokens: the one way, beside a command of the log, to act under a lease. An
 * implementation refuses a token that is lower than the highest it has seen for that lease, and
 * keeps the token in the same step as the act: no other act of that lease is let between. {@link
 * Fence} has the rule; an implementation adds its lock, its transaction or its one thread.
 *
 * @param <A> what is done
 * @param <R> what comes of it
 */
public interface FencedResource<A, R> {
    /** Does it, or refuses it with {@link LeaseRejection.TokenOutdated} and does nothing. */
    FencedResult<R> act(String lease, long token, A act);

    /** What came of an act: a result, or why nothing was done. */
    record FencedResult<R>(R result, LeaseRejection refused) {
        public static <R> FencedResult<R> done(R result) {
            return new FencedResult<>(result, null);
        }

        public static <R> FencedResult<R> refused(LeaseRejection why) {
            return new FencedResult<>(null, why);
        }

        public boolean isDone() {
            return refused == null;
        }
    }
}
