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
 * What stands on a simulated cluster beside its lists, such as leases: a machine at each voter,
 * what each member does with it, and checks of its own. For one run; all calls are in the run's one
 * thread and order. A fault is told as words, "" is none.
 */
public interface SimulationExtension {
    /** A run without any. */
    SimulationExtension NONE = new SimulationExtension() {};

    /** A machine and the leader's count of time for it. */
    record ReplicatedPart(StateMachine machine, ExpiryMonitor expiryMonitor) {}

    /** What a guest may ask of the world and do to it; times are the world's, in nanoseconds. */
    interface SimulationControl {
        long nowNanos();

        Random random();

        /** How many processes there are; they are members 1 to this. */
        int members();

        void schedule(long time, Runnable task);

        boolean isUp(int member);

        /**
         * Kills the process, voter and all, and starts it anew later; false if the world does not
         * let it now.
         */
        boolean crash(int member, int afterMillis);

        /**
         * The process does nothing for so long, and its clock goes on, if the world lets it now.
         */
        void pause(int member, int millis);
    }

    default void started(SimulationControl world) {}

    /** For a voter that starts, by the machines' names. */
    default Map<String, ReplicatedPart> parts(int member) {
        return Map.of();
    }

    default void memberStarted(int member, EventLoop process, MemberSession session) {}

    /** With all that it had in memory. */
    default void memberCrashed(int member) {}

    default void tick(int member) {}

    /** Of the copy at this member, or told by the leader. */
    default void stateChanged(int member, ReplicatedState.StateChange news) {}

    /** Whether the leader tells members without a copy; else they hear nothing unasked. */
    default boolean isNotifiedByLeader() {
        return true;
    }

    /** No new work from now on: all is to come to rest. */
    default void stopLoad() {}

    /** Asked after each event. */
    default String violation() {
        return "";
    }

    /** Asked at the end of a run that has come to rest. */
    default String finalViolation() {
        return "";
    }
}
