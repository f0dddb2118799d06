// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** One engine of the endpoint list, with its address and open connections. */
final class RespEndpoint {
    private final List<RespConnection> connections = new ArrayList<>();
    private InetSocketAddress address;
    private boolean draining;

    InetSocketAddress address() {
        return address;
    }

    void setAddress(InetSocketAddress newAddress) {
        address = newAddress;
    }

    /** Whether the engine drains, so that no new attempt may be sent to it. */
    boolean isDraining() {
        return draining;
    }

    void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** The open connections in the order of opening; a live view. */
    List<RespConnection> connections() {
        return connections;
    }

    /** Closes the connections without attempts. */
    void closeIdleConnections() {
        List.copyOf(connections).stream()
                .filter(RespConnection::isIdle)
                .forEach(RespConnection::closeUnused);
    }
}
