// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.List;

/**
 * The leader's count of time for one {@link StateMachine}; pure, called by one thread, only at the
 * leader and only while the copy there has applied all that older leaders left. It reads the
 * machine beside it and proposes what has run out as commands of session 0; nothing is over until
 * such a command is applied. Of a former era it must remember nothing: at {@link #eraBegan} every
 * span starts anew at its full length, which makes things last longer, never shorter.
 */
public interface ExpiryMonitor {
    /** This process leads from now on. */
    void epochStarted(long era, long nowNanos);

    /**
     * Called at least every {@code period} of the node while this process leads.
     *
     * @param nowNanos as {@link BoundedElapsedTime} counts by a monotonic clock of this process
     *     that may drift by 500 ppm; differences alone mean something
     * @return bodies of commands to propose, oldest need first; may repeat what was proposed and is
     *     not yet applied
     */
    List<byte[]> expiredCommands(long nowNanos);
}
