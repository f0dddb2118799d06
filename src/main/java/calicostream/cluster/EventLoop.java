// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * The single thread that owns the state of a voter or a member, and its clock. All methods may be
 * called by any thread; tasks run on the owning thread, in the order of {@link #execute} or at
 * their scheduled time.
 */
public interface EventLoop {
    /**
     * The time of a monotonic clock in nanoseconds; only differences within this process are
     * meaningful.
     */
    long nanoTime();

    /** Runs {@code task} on the owning thread, after the tasks given before. */
    void execute(Runnable task);

    /** Runs {@code task} once, not before {@code delayNanos} from now. */
    void schedule(Runnable task, long delayNanos);
}
