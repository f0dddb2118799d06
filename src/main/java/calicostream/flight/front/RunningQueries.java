// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import io.grpc.Status;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The DoGets that run at engines or whose results are on their way to their clients, by ticket. A
 * prepared statement may run several times at once under the same ticket. Used by the event loop's
 * thread only.
 */
final class RunningQueries {
    /** One DoGet; compared by identity. */
    private static final class RunningQuery {
        private final String owner;
        private final ResultStream result;
        private final RequestDispatcher.Submitted request;

        RunningQuery(ResultStream result, RequestDispatcher.Submitted request) {
            owner = result.call.owner;
            this.result = result;
            this.request = request;
        }

        /** Frees the engine, and gives the client its final status. */
        void end(Status status) {
            request.abandon();
            result.fail(status, -1);
        }
    }

    private final Map<String, Set<RunningQuery>> byTicket = new HashMap<>();

    /** Adds a DoGet until its call is over. */
    void add(String ticket, ResultStream result, RequestDispatcher.Submitted request) {
        RunningQuery query = new RunningQuery(result, request);
        byTicket.computeIfAbsent(ticket, any -> new LinkedHashSet<>()).add(query);
        result.call.atEnd(() -> remove(ticket, query));
    }

    private void remove(String ticket, RunningQuery query) {
        byTicket.computeIfPresent(
                ticket,
                (name, queries) -> {
                    queries.remove(query);
                    return queries.isEmpty() ? null : queries;
                });
    }

    /**
     * Ends the owner's DoGets under this ticket, each with this status.
     *
     * @return false if there is none
     */
    boolean end(String owner, String ticket, Status status) {
        return endAll(owner, byTicket.getOrDefault(ticket, Set.of()), status);
    }

    /** Ends all DoGets of an owner, each with this status. */
    void endAll(String owner, Status status) {
        List<RunningQuery> all = byTicket.values().stream().flatMap(Collection::stream).toList();
        endAll(owner, all, status);
    }

    private static boolean endAll(String owner, Collection<RunningQuery> among, Status status) {
        List<RunningQuery> own = new ArrayList<>(among);
        own.removeIf(each -> !each.owner.equals(owner));
        own.forEach(each -> each.end(status));
        return !own.isEmpty();
    }
}
