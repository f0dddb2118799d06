// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import java.util.HashSet;
import java.util.Set;

/**
 * Ids of requests whose attempts on a connection ended without a result. A late response to such an
 * attempt must not be taken for the response to a later attempt of the same request. Bounded: all
 * ids are dropped when the limit is reached.
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
