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
public interface Guest {
    /** A run without any. */
    Guest NONE = new Guest() {};

    /** A machine and the leader's count of time for it. */
    record Part(StateMachine machine, ExpiryMonitor timekeeper) {}

    /** What a guest may ask of the world and do to it; times are the world's, in nanoseconds. */
    interface Powers {
        long now();

        Random random();

        /** How many processes there are; they are members 1 to this. */
        int members();

        void at(long time, Runnable task);

        boolean isUp(int member);

        /**
         * Kills the process, voter and all, and starts it anew later; false if the world does not
         * let it now.
         */
        boolean kill(int member, int afterMillis);

        /**
         * The process does nothing for so long, and its clock goes on, if the world lets it now.
         */
        void stall(int member, int millis);
    }

    default void enters(Powers world) {}

    /** For a voter that starts, by the machines' names. */
    default Map<String, Part> parts(int member) {
        return Map.of();
    }

    default void memberStarts(int member, EventLoop process, MemberSession session) {}

    /** With all that it had in memory. */
    default void memberDies(int member) {}

    default void tick(int member) {}

    /** Of the copy at this member, or told by the leader. */
    default void news(int member, ReplicatedState.StateChange news) {}

    /** Whether the leader tells members without a copy; else they hear nothing unasked. */
    default boolean isTold() {
        return true;
    }

    /** No new work from now on: all is to come to rest. */
    default void settles() {}

    /** Asked after each event. */
    default String fault() {
        return "";
    }

    /** Asked at the end of a run that has come to rest. */
    default String end() {
        return "";
    }
}
