// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Stores the highest fencing token that a resource has accepted for each lease and rejects lower
 * tokens. Confined to one thread. To every observer, checking the token, storing it and executing
 * the action must be one atomic step, which the owner ensures; a resource whose actions survive a
 * restart must persist its tokens too.
 */
public class FencingTokenGuard {
    private final Map<String, Long> highestTokens = new HashMap<>();

    /**
     * Checks a token and stores it if it is the highest so far.
     *
     * @return empty if the action may be executed; else {@link LeaseRejection.TokenOutdated}
     */
    public Optional<LeaseRejection> admit(String name, long token) {
        long highest = highestToken(name);
        if (isOutdated(token, highest)) {
            return Optional.of(new LeaseRejection.TokenOutdated(name, token, highest));
        }
        highestTokens.put(name, Math.max(highest, token));
        return Optional.empty();
    }

    /** Overridden only by model checks and simulations that remove this safeguard. */
    boolean isOutdated(long token, long highest) {
        return token < highest;
    }

    /**
     * The highest token accepted; 0 if none. After a restart, {@link #admit} restores a persisted
     * token.
     */
    public long highestToken(String name) {
        return highestTokens.getOrDefault(name, 0L);
    }
}
