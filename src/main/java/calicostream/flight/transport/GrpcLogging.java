// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Keeps gRPC's transport from logging the faults of single clients: it writes a stack for each
 * connection and each stream that a client breaks off, so that one client could fill the log.
 */
public final class GrpcLogging {
    /** Held here, as the logging framework forgets the level of a logger that nobody refers to. */
    private static final Logger TRANSPORT = Logger.getLogger("io.grpc.netty");

    private GrpcLogging() {}

    /** From now on the transport logs what is wrong with the process alone. */
    public static void ignoreFaultsOfClients() {
        TRANSPORT.setLevel(Level.SEVERE);
    }
}
