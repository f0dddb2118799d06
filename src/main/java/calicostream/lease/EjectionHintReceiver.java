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

    /** The last hint for each engine, in order of receipt. */
    private final Map<Long, ReceivedHint> hintsByEngine = new LinkedHashMap<>();

    private long lastToken;
    private long lastSequenceNumber;

    EjectionHintReceiver(EjectionHints.FrontEnd frontEnd) {
        this.frontEnd = frontEnd;
    }

    /**
     * Checks that a message is newer than the last one, and records it as received.
     *
     * @return false if the message is outdated or a duplicate
     */
    boolean accept(long token, EjectionHintMessage message) {
        if (token < lastToken
                || token == lastToken && message.sequenceNumber() <= lastSequenceNumber) {
            return false;
        }
        if (token > lastToken) {
            reinstated.clear();
        }
        lastToken = token;
        lastSequenceNumber = message.sequenceNumber();
        return true;
    }

    /**
     * Passes an entry to the front end. A reinstatement is passed on only once, although it is
     * published several times: the local front end may have ejected the engine again in the
     * meantime.
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
        if (hintsByEngine.size() >= EjectionHints.MAX_ENGINES
                && !hintsByEngine.containsKey(engine)) {
            Long oldest = hintsByEngine.keySet().iterator().next();
            hintsByEngine.remove(oldest);
        }
        hintsByEngine.remove(engine); // Inserts the engine at the end, as the newest.
        long ageNanos = entry.ageMillis() * NANOS_PER_MILLI;
        hintsByEngine.put(
                engine, new ReceivedHint(new EjectionHints.Hint(entry.served(), ageNanos), now));
    }

    /** The last hint for each engine with its current age, newest last. */
    Map<Long, EjectionHints.Hint> hints(long now) {
        Map<Long, EjectionHints.Hint> aged = new LinkedHashMap<>();
        hintsByEngine.forEach(
                (engine, received) ->
                        aged.put(engine, received.hint.agedBy(now - received.receivedAt)));
        return aged;
    }
}
