// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * A task that one process of the fleet executes at a time, under a lease. All methods are called on
 * the session's thread and must return soon, as the lease is not renewed meanwhile. {@link
 * FencedActions} is the only way to change anything outside of this process. A task that throws
 * loses its lease, and requests it again one time to live later.
 */
public interface LeasedTask {
    /** The lease's name, the same at all processes. */
    String lease();

    /**
     * This process holds the lease from now on. What an earlier holder did, here or elsewhere, may
     * have taken effect since this process last observed it.
     */
    default void onStarted(FencedActions actions) {}

    /**
     * Called at each tick of the session while the lease is held.
     *
     * @param nowNanos the process's monotonic time
     */
    void step(FencedActions actions, long nowNanos);

    /**
     * This process no longer holds the lease, or is about to release it; later actions are
     * rejected.
     */
    default void onStopped() {}

    /**
     * The holder, here or elsewhere, performed an action in the log. The notification may be late,
     * lost or duplicated.
     *
     * @param token the holder's fencing token
     * @param payload the action
     * @param nowNanos the process's monotonic time
     */
    default void onAction(long token, byte[] payload, long nowNanos) {}

    /** The task's status for operators, as a JSON object. */
    default String statusJson() {
        return "{}";
    }
}
