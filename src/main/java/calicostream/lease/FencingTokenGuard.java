// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a resource keeps of each lease: the highest token that it has seen, under which and above
 * which alone it is acted upon. Pure; one thread. It is only as good as its owner: the check, what
 * is kept and the act must be one step for whoever looks, and a resource whose acts survive a
 * restart must keep its tokens as well.
 */
public class FencingTokenGuard {
    private final Map<String, Long> highest = new HashMap<>();

    /** Empty: the act may be done, and no lower token will be let from now on. */
    public Optional<LeaseRejection> admit(String name, long token) {
        long most = highest.getOrDefault(name, 0L);
        if (isOutdated(token, most)) {
            return Optional.of(new LeaseRejection.TokenOutdated(name, token, most));
        }
        highest.put(name, Math.max(most, token));
        return Optional.empty();
    }

    boolean isOutdated(long token, long most) {
        return token < most;
    }

    /** The highest token seen; 0 if none. What was kept comes back by {@link #admit}. */
    public long highest(String name) {
        return highest.getOrDefault(name, 0L);
    }
}
