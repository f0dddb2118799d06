// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.CommandEffects;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberSession;
import calicostream.cluster.StateMachine;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * What stands on the replicated state, such as leases: its machine, and what this member does with
 * it. All calls are the member's thread's; what the request path needs of it a layer publishes
 * itself. A layer is one member's, for one life. What it throws is logged and changes nothing for
 * the others, but for {@link #machine}'s, which stops the voter.
 */
public interface ReplicatedService {
    /**
     * Under which its machine is composed and its figures are told; the same at all members, for
     * ever.
     */
    String name();

    /** The same object at each call. */
    StateMachine stateMachine();

    /** The leader's count of time for the machine, if it needs one. */
    default Optional<ExpiryMonitor> expiryMonitor() {
        return Optional.empty();
    }

    /**
     * Called once, before anything else.
     *
     * @param session of this member, on which commands are run and questions asked on this thread;
     *     it is lost and opened anew by itself
     * @param clock monotonic, nanoseconds, the one that the session is told
     */
    default void onStart(MemberSession session, LongSupplier clock) {}

    /**
     * Called some ten times in {@code session.retry} and as often as there may be news; what it
     * gives to the session goes out.
     */
    default void onTick() {}

    /**
     * The copy at hand applied something, or the leader told of what concerns this member; the
     * first not for what a restart finds. Perhaps late, lost, or told twice: a reason to ask or to
     * hurry, never an order.
     */
    default void onEvent(long index, CommandEffects.Event event) {}

    /**
     * The process ends as planned: gives back what it holds, by the session, which is closed once
     * nothing waits in it.
     */
    default void onStopping() {}

    /** What operators see of it: a JSON object. */
    default String metricsJson() {
        return "{}";
    }
}
