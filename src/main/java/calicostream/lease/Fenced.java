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
public interface Fenced<A, R> {
    /** Does it, or refuses it with {@link LeaseRejection.TokenOutdated} and does nothing. */
    Outcome<R> act(String lease, long token, A act);

    /** What came of an act: a result, or why nothing was done. */
    record Outcome<R>(R result, LeaseRejection refused) {
        public static <R> Outcome<R> done(R result) {
            return new Outcome<>(result, null);
        }

        public static <R> Outcome<R> refused(LeaseRejection why) {
            return new Outcome<>(null, why);
        }

        public boolean isDone() {
            return refused == null;
        }
    }
}
