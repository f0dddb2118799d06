// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.admin.AdminServer;
import java.io.File;

/**
 * Divides the process's limit on file descriptors, so that neither clients nor engines can exhaust
 * it.
 *
 * @param clients the largest number of client connections
 * @param engines the largest number of connections to engines
 * @param process the descriptors that the process itself uses
 */
public record Descriptors(int clients, int engines, int process) {
    /** Descriptors of the process where the system does not list the open ones. */
    private static final int DEFAULT_PROCESS_DESCRIPTORS = 64;

    /** Opened after the count: selector, hot restart file, listeners. */
    private static final int DESCRIPTORS_OPENED_LATER = 6;

    /**
     * Descriptors left free for short-lived uses: the log, a successor process, configuration
     * reloads, sockets that are being closed, and administration connections.
     */
    private static final int RESERVED_DESCRIPTORS = 12 + AdminServer.MAX_CONNECTIONS;

    /**
     * Divides the limit. Clients normally use at most a third of it; they get two fifths, so that
     * excess clients can still be closed gracefully. Engines get the rest, less what the process
     * uses. Call this before the process opens anything else: listing the open descriptors uses one
     * more, which no limit accounts for.
     */
    public static Descriptors of(int limit) {
        String[] open = new File("/proc/self/fd").list();
        return of(
                limit,
                open == null
                        ? DEFAULT_PROCESS_DESCRIPTORS
                        : open.length + DESCRIPTORS_OPENED_LATER);
    }

    /** The division where another component of the process uses this many more descriptors. */
    public Descriptors beside(int limit, int additional) {
        return of(limit, process + additional);
    }

    static Descriptors of(int limit, int process) {
        int clients =
                Math.max(4, Math.min(limit * 2 / 5, limit - process - RESERVED_DESCRIPTORS - 4));
        return new Descriptors(
                clients, Math.max(4, limit - process - RESERVED_DESCRIPTORS - clients), process);
    }
}
