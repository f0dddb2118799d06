// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.EventLoop;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberSession;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.StateMachine;
import java.util.Map;
import java.util.Random;

/**
 * Extends a simulated cluster by state machines at each voter, activities of each member, and
 * checks of its own. Belongs to one run; all calls are made by the run's thread, in its order. A
 * violation is described by a text; the empty text is none.
 */
public interface SimulationExtension {
    /** A run without extension. */
    SimulationExtension NONE = new SimulationExtension() {};

    /** A state machine and the leader's time-keeping for it. */
    record ReplicatedPart(StateMachine machine, ExpiryMonitor expiryMonitor) {}

    /** What an extension may observe and cause; times are virtual nanoseconds. */
    interface SimulationControl {
        /** The present time. */
        long nowNanos();

        /** The run's source of randomness. */
        Random random();

        /** The number of members, which are numbered from 1. */
        int members();

        /** Runs a task at a time. */
        void schedule(long timeNanos, Runnable task);

        /** Whether the process of a member runs. */
        boolean isUp(int member);

        /**
         * Crashes the process of a member, including its voter, and restarts it later.
         *
         * @return false if it is down or no fault may be injected now
         */
        boolean crash(int member, int restartMillis);

        /** Pauses a process while its clock goes on, if a fault may be injected now. */
        void pause(int member, int millis);
    }

    /** The run starts. */
    default void started(SimulationControl control) {}

    /** Makes the state machines of a voter that starts, by name. */
    default Map<String, ReplicatedPart> parts(int member) {
        return Map.of();
    }

    /** A member's process has started. */
    default void memberStarted(int member, EventLoop process, MemberSession session) {}

    /** A member's process has crashed; everything it had in memory is lost. */
    default void memberCrashed(int member) {}

    /** Called regularly on each running member. */
    default void tick(int member) {}

    /** A change at the copy of this member, or a notification from the leader. */
    default void stateChanged(int member, ReplicatedState.StateChange change) {}

    /** Whether the leader notifies members without a copy. */
    default boolean isNotifiedByLeader() {
        return true;
    }

    /** No new work may be started, so that the cluster settles. */
    default void stopLoad() {}

    /** Called after each event. */
    default String violation() {
        return "";
    }

    /** Called at the end of a run that has settled. */
    default String finalViolation() {
        return "";
    }
}
