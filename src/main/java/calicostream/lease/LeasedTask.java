// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * What one process of the fleet does at a time, under its lease. All calls are the session's
 * thread's and return soon: the time that they take, the lease is not renewed. {@link
 * FencedActions} is the one way to change anything outside of this process; what a task did for
 * itself alone it may keep or forget. A task that throws gives its lease back and wants it again a
 * time to live later.
 */
public interface LeasedTask {
    /** The lease's name, the same at all processes. */
    String lease();

    /**
     * This process holds from now on. Whatever an earlier holder did, here or elsewhere, may have
     * happened since it was looked at.
     */
    default void started(FencedActions acts) {}

    /** Called while it holds, at each tick of the session. */
    void step(FencedActions acts, long nowNanos);

    /**
     * This process holds no longer, or is about to give the lease back; nothing that is done from
     * here on counts.
     */
    default void stopped() {}

    /**
     * The holder, here or elsewhere, did this in the log: news, perhaps late, lost, or there twice.
     */
    default void heard(long token, byte[] payload, long nowNanos) {}

    /** What operators see of it: a JSON object. */
    default String figures() {
        return "{}";
    }
}
