// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import java.util.HashSet;
import java.util.Set;

/**
 * Ids of requests that were given up on a connection: a late response to one must not be taken for
 * a response to another attempt of the same request. Bounded; all are dropped when there are too
 * many.
 */
final class StaleRequestIds {
    private static final int MAX_IDS = 256;

    private final Set<String> ids = new HashSet<>();

    void add(String requestId) {
        if (ids.size() >= MAX_IDS) {
            ids.clear();
        }
        ids.add(requestId);
    }

    boolean contains(String requestId) {
        return ids.contains(requestId);
    }
}
