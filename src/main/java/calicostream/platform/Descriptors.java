// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.admin.AdminServer;
import java.io.File;

/** How the descriptors of the process are shared out, so that neither side can take them all. */
public record Descriptors(int clients, int engines, int own) {
    private static final int UNTOLD = 64; // the process's own, where the system does not list them
    private static final int LATER =
            6; // selector, hand-over, listeners: what comes after the count
    private static final int SPARE =
            12 + AdminServer.MAX_CONNECTIONS; // log and successor, files read anew, sockets being

    // closed

    /**
     * Usual clients hold a third of the limit at most. They get two fifths, so that others can be
     * told goodbye; engines get what the process itself leaves of the rest. To be called before
     * anything else of the process is open: the listing takes a descriptor for its moment that
     * nobody else knows of.
     */
    public static Descriptors of(int limit) {
        String[] open = new File("/proc/self/fd").list();
        return of(limit, open == null ? UNTOLD : open.length + LATER);
    }

    /** Where another part of the process takes so many more. */
    public Descriptors beside(int limit, int more) {
        return of(limit, own + more);
    }

    static Descriptors of(int limit, int own) {
        int clients = Math.max(4, Math.min(limit * 2 / 5, limit - own - SPARE - 4));
        return new Descriptors(clients, Math.max(4, limit - own - SPARE - clients), own);
    }
}
