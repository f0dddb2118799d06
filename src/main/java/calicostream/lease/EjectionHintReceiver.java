// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The receiving side of {@link EjectionHints}: drops outdated messages and keeps the last hint for
 * each engine. Confined to one thread; times in nanoseconds.
 */
final class EjectionHintReceiver {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private record ReceivedHint(EjectionHints.Hint hint, long receivedAt) {}

    private final EjectionHints.FrontEnd frontEnd;
    private final Set<Long> reinstated = new HashSet<>();
    private final Map<Long, ReceivedHint> hints = new LinkedHashMap<>(); // oldest first
    private long lastToken;
    private long lastNumber;

    EjectionHintReceiver(EjectionHints.FrontEnd frontEnd) {
        this.frontEnd = frontEnd;
    }

    /**
     * Records that a message was received.
     *
     * @return false if it is outdated or a duplicate
     */
    boolean accept(long token, EjectionHintMessage message) {
        if (token < lastToken || token == lastToken && message.number() <= lastNumber) {
            return false;
        }
        if (token > lastToken) {
            reinstated.clear();
        }
        lastToken = token;
        lastNumber = message.number();
        return true;
    }

    /**
     * Passes an entry on to the front end. That an engine has served is passed on once, however
     * often it is published: the engine may have failed here since.
     */
    void apply(EjectionHintMessage.Entry entry, long now) {
        long engine = entry.engine();
        if (entry.served()) {
            if (!reinstated.add(engine)) {
                return;
            }
        } else {
            reinstated.remove(engine);
        }
        store(engine, entry, now);
        frontEnd.onHint(engine, entry.served());
    }

    private void store(long engine, EjectionHintMessage.Entry entry, long now) {
        if (hints.size() >= EjectionHints.MAX_ENGINES && !hints.containsKey(engine)) {
            Long oldest = hints.keySet().iterator().next();
            hints.remove(oldest);
        }
        hints.remove(engine); // So that it is inserted as the newest.
        long ageNanos = entry.ageMillis() * NANOS_PER_MILLI;
        hints.put(engine, new ReceivedHint(new EjectionHints.Hint(entry.served(), ageNanos), now));
    }

    /** The last hint for each engine with its present age, newest last. */
    Map<Long, EjectionHints.Hint> hints(long now) {
        Map<Long, EjectionHints.Hint> aged = new LinkedHashMap<>();
        hints.forEach((engine, each) -> aged.put(engine, each.hint.older(now - each.receivedAt)));
        return aged;
    }
}
