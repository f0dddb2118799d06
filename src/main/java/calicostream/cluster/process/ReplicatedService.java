// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.CommandEffects;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberSession;
import calicostream.cluster.StateMachine;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * A service on the replicated state, such as leases: its state machine, and what this member does
 * with it. A service belongs to one member for one run. Every method is called on the member's
 * thread; what the request path needs of a service, the service publishes itself. An exception is
 * logged and affects no other service, but for one of {@link #stateMachine}, which stops the voter.
 */
public interface ReplicatedService {
    /** The name of its state machine and its metrics; the same at all members, for ever. */
    String name();

    /** Its state machine, the same object at each call. */
    StateMachine stateMachine();

    /** What counts time for the state machine at the leader, if it needs that. */
    default Optional<ExpiryMonitor> expiryMonitor() {
        return Optional.empty();
    }

    /**
     * Called once, before any other event.
     *
     * @param session of this member, for commands and reads on this thread; a lost session is
     *     opened again without the service's help
     * @param clock monotonic nanoseconds, the same that the session is given
     */
    default void onStart(MemberSession session, LongSupplier clock) {}

    /**
     * Called some ten times in {@code session.retry}, and soon after an event; what is given to the
     * session is sent afterwards.
     */
    default void onTick() {}

    /**
     * The copy here applied an event, or the leader notified this member of one; events that a
     * restart finds in the log are not repeated. An event may be late, lost or repeated, and so is
     * only a reason to read or to hurry.
     *
     * @param index of the log entry
     */
    default void onEvent(long index, CommandEffects.Event event) {}

    /**
     * The planned stop begins: the service releases what it holds, by the session, which is closed
     * once it has no pending commands.
     */
    default void onStopping() {}

    /** Its metrics for operators, a JSON object. */
    default String metricsJson() {
        return "{}";
    }
}
