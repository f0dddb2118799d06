// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The connections of all clients, up to a maximum number. Threads of several use one object. */
final class OpenConnections {
    private final int maxConnections;
    private final Set<ClientConnection> open = new HashSet<>();

    OpenConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /**
     * Makes room for one more connection: closes the one that has been silent for longest, of those
     * without a call.
     *
     * @return false if there is none
     */
    synchronized boolean makeRoom() {
        if (open.size() < maxConnections) {
            return true;
        }
        Optional<ClientConnection> silent =
                open.stream()
                        .filter(each -> !each.hasOpenCalls())
                        .min(Comparator.comparingLong(ClientConnection::receivedAtNanos));
        silent.ifPresent(open::remove);
        silent.ifPresent(ClientConnection::close);
        return silent.isPresent();
    }

    synchronized void add(ClientConnection connection) {
        open.add(connection);
    }

    synchronized void remove(ClientConnection connection) {
        open.remove(connection);
    }
}
