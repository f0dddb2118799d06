// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** One engine of the endpoint list: its address and the connections that are open to it. */
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

    /** Whether nothing new may be sent to it. */
    boolean isDraining() {
        return draining;
    }

    void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** The open connections, in the order in which they were opened; changes with them. */
    List<RespConnection> connections() {
        return connections;
    }

    /** Closes the connections that carry no attempt. */
    void closeIdleConnections() {
        List.copyOf(connections).stream()
                .filter(RespConnection::isIdle)
                .forEach(RespConnection::closeUnused);
    }
}
