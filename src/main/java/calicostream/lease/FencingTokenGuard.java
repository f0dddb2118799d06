// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the highest fencing token that a resource has seen for each lease and rejects lower ones.
 * Confined to one thread. The owner must make the check, the stored token and the action one atomic
 * step for every observer; a resource whose actions survive a restart must store its tokens too.
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

    /** Overridden only to take this safeguard out. */
    boolean isOutdated(long token, long highest) {
        return token < highest;
    }

    /** The highest token seen; 0 if none. A stored token is restored by {@link #admit}. */
    public long highestToken(String name) {
        return highestTokens.getOrDefault(name, 0L);
    }
}
