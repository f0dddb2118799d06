// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.List;

/**
 * The leader's time-keeping for one {@link StateMachine}. It runs beside the state machine, only at
 * the leader, and only once that copy has applied everything that earlier leaders left. It reads
 * the state machine and proposes what has expired as commands of session 0; nothing has expired
 * until such a command is applied. It carries nothing over from an earlier epoch: at {@link
 * #epochStarted} every time span starts anew at full length, so things may last longer, never
 * shorter. Pure; called by one thread.
 */
public interface ExpiryMonitor {
    /** This process is the leader from now on. */
    void epochStarted(long epoch, long nowNanos);

    /**
     * Finds what has expired; called at least once per expiry period while this process leads.
     *
     * @param nowNanos time as {@link BoundedElapsedTime} counts it, by a monotonic clock that may
     *     drift by 500 ppm; only differences are meaningful
     * @return bodies of commands to propose, the most overdue first; may repeat commands that were
     *     proposed and are not applied yet
     */
    List<byte[]> expiredCommands(long nowNanos);
}
