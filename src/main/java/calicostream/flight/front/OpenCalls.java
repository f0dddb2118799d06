// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The calls that are admitted and not over. Used by the event loop's thread only. */
final class OpenCalls {
    private final Set<ServerCall<?>> calls = new LinkedHashSet<>();

    /** Adds a call until it is over. */
    void add(ServerCall<?> call) {
        calls.add(call);
        call.atEnd(() -> calls.remove(call));
    }

    /**
     * The last session of this user was closed: what its calls still make at engines is given back
     * when it is made, because nobody can use it.
     */
    void sessionClosed(String user) {
        calls.stream().filter(call -> call.owner.equals(user)).forEach(ServerCall::sessionClosed);
    }

    /**
     * Refuses the calls without an answer, before the process ends: those that wait for their own
     * client, of which nothing has run.
     */
    void terminateAll() {
        for (ServerCall<?> call : List.copyOf(calls)) {
            call.fail(FlightStatuses.refusal(0), 0);
        }
    }

    /** The calls that wait for an answer of this front end, and not for their own client. */
    List<ServerCall<?>> unanswered() {
        return calls.stream()
                .filter(call -> !call.isAnswered() && !call.isWaitingForClient())
                .toList();
    }
}
