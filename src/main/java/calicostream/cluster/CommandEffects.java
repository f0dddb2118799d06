// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.List;

/**
 * The effects of one command: a response for its sender and events for the listeners at each copy
 * of the state. Events may be delivered again after a restart and may get lost, so listeners treat
 * them as notifications, never as orders. Immutable by convention.
 *
 * @param rejectionCode stable code of why the state machine rejected the command; null if it was
 *     accepted
 * @param response in the state machine's own encoding; the facts of a rejection if there is one
 * @param events in the order they happened
 */
public record CommandEffects(String rejectionCode, byte[] response, List<Event> events) {
    /**
     * Something that happened in a state machine.
     *
     * @param kind stable name of the kind of event
     * @param body in the state machine's own encoding
     * @param recipient whom the leader notifies beside the listeners at the copies: a session,
     *     {@link #ALL_MEMBERS} or {@link #NO_MEMBER}
     */
    public record Event(String kind, byte[] body, long recipient) {
        /** The leader notifies every member that has a session. */
        public static final long ALL_MEMBERS = 0;

        /** Only the listeners at the copies are notified. */
        public static final long NO_MEMBER = -1;

        /** An event for the listeners at the copies alone. */
        public Event(String kind, byte[] body) {
            this(kind, body, NO_MEMBER);
        }
    }

    /** Accepted, with an empty response and no events. */
    public static final CommandEffects NONE = new CommandEffects(null, new byte[0], List.of());

    /** Copies the list of events. */
    public CommandEffects {
        events = List.copyOf(events);
    }

    /** The effects of an accepted command. */
    public static CommandEffects response(byte[] response, Event... events) {
        return new CommandEffects(null, response, List.of(events));
    }

    /** The effects of a rejected command; the state machine must not have changed. */
    public static CommandEffects rejected(String code, byte[] facts) {
        return new CommandEffects(code, facts, List.of());
    }

    /** Whether the state machine accepted the command. */
    public boolean isAccepted() {
        return rejectionCode == null;
    }
}
