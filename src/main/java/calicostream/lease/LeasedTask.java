// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * A task that one process of the fleet executes at a time, under a lease. All methods are called on
 * the session's thread and must return quickly, as the lease is not renewed while they run. A task
 * must change state outside of this process only through {@link FencedActions}. If a task throws,
 * its process releases the lease and requests it again one time to live later.
 */
public interface LeasedTask {
    /** The lease's name, which must be the same at all processes. */
    String lease();

    /**
     * Called when this process starts to hold the lease. Actions of earlier holders, at this
     * process or elsewhere, may have taken effect since this process last observed the affected
     * state.
     */
    default void onStarted(FencedActions actions) {}

    /**
     * Called at each tick of the session while the lease is held.
     *
     * @param nowNanos current monotonic time of the process
     */
    void step(FencedActions actions, long nowNanos);

    /**
     * Called when this process no longer holds the lease or is about to release it. Later actions
     * are rejected.
     */
    default void onStopped() {}

    /**
     * Called when the holder, at this process or elsewhere, has performed an action in the log. The
     * notification may be late, lost or duplicated.
     *
     * @param token the holder's fencing token
     * @param payload the action's payload
     * @param nowNanos current monotonic time of the process
     */
    default void onAction(long token, byte[] payload, long nowNanos) {}

    /** The task's status for operators, as a JSON object. */
    default String statusJson() {
        return "{}";
    }
}
