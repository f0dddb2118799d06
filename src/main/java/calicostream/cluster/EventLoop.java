// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * The one thread that owns a voter's or a member's state, and its clock. Any thread may call it;
 * what it is given runs on the one thread, in order of {@link #execute} or at its time. Time is of
 * a monotonic clock, in nanoseconds, and means something only as a difference within this process.
 */
public interface EventLoop {
    long nanoTime();

    void execute(Runnable task);

    /** Runs {@code task} once, not before {@code delayNanos} from now. */
    void schedule(Runnable task, long delayNanos);
}
