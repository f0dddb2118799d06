// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.List;

/**
 * What a command led to: an answer for its sender, and events for whoever watches the machine at
 * the copy that applied it. Events are told at each copy, possibly again after a restart, so they
 * are news, never orders.
 *
 * @param refusal stable code of why the machine did not accept the command; null if it did
 * @param answer in the machine's own encoding; the facts of a refusal if there is one
 */
public record CommandEffects(String rejectionCode, byte[] response, List<Event> events) {
    /**
     * Something that happened in a machine, for watchers; {@code body} is in the machine's own
     * encoding.
     *
     * @param to whom the leader tells it beside the watchers at the copies: a session, {@link #ALL}
     *     or {@link #NOBODY}
     */
    public record Event(String kind, byte[] body, long recipient) {
        public static final long ALL_MEMBERS = 0;
        public static final long NO_MEMBER = -1;

        /** For the watchers at the copies alone. */
        public Event(String kind, byte[] body) {
            this(kind, body, NO_MEMBER);
        }
    }

    /** Accepted, nothing to say. */
    public static final CommandEffects NONE = new CommandEffects(null, new byte[0], List.of());

    public CommandEffects {
        events = List.copyOf(events);
    }

    public static CommandEffects response(byte[] answer, Event... events) {
        return new CommandEffects(null, answer, List.of(events));
    }

    public static CommandEffects rejected(String code, byte[] facts) {
        return new CommandEffects(code, facts, List.of());
    }

    public boolean isAccepted() {
        return rejectionCode == null;
    }
}
