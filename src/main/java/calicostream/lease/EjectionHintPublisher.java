// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The sending side of {@link EjectionHints}: tracks which engines the local front end has ejected
 * and reinstated, and decides when to publish them. Confined to one thread; times in nanoseconds.
 */
final class EjectionHintPublisher {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;
    private static final long REPEAT_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

    /** An engine that has served a query since its ejection, and how often that was published. */
    private static final class Reinstatement {
        private final long reinstatedAt;
        private int publications;

        Reinstatement(long reinstatedAt) {
            this.reinstatedAt = reinstatedAt;
        }
    }

    private final Map<Long, Long> ejectedAtByEngine = new TreeMap<>();
    private final Map<Long, Reinstatement> reinstatementsByEngine = new TreeMap<>();
    private Set<Long> lastPublishedEjected = Set.of();
    private boolean hasPublished;
    private long lastPublishedAt;
    private long lastSequenceNumber;

    /** Called when the lease is granted: nothing has been published under the new token yet. */
    void reset() {
        hasPublished = false;
        lastSequenceNumber = 0;
        ejectedAtByEngine.clear();
        reinstatementsByEngine.clear();
        lastPublishedEjected = Set.of();
    }

    /** Number of messages published under the most recent token. */
    long messageCount() {
        return lastSequenceNumber;
    }

    /** Whether the minimum interval since the last message has not elapsed yet. */
    boolean isThrottled(long now) {
        return hasPublished && now - lastPublishedAt < MIN_INTERVAL_NANOS;
    }

    /**
     * Updates the tracked engines from the front end's current view.
     *
     * @return the message to publish now, which is recorded as published; empty if none is due
     */
    Optional<EjectionHintMessage> update(long now, EjectionHints.EngineView view) {
        updateEngines(now, view);
        if (ejectedAtByEngine.isEmpty() && reinstatementsByEngine.isEmpty()) {
            return Optional.empty();
        }
        if (!hasChanged() && now - lastPublishedAt < REPEAT_INTERVAL_NANOS) {
            return Optional.empty();
        }
        hasPublished = true;
        lastPublishedAt = now;
        lastPublishedEjected = Set.copyOf(ejectedAtByEngine.keySet());
        return Optional.of(createMessage(now));
    }

    private boolean hasChanged() {
        return !ejectedAtByEngine.keySet().equals(lastPublishedEjected)
                || reinstatementsByEngine.values().stream()
                        .anyMatch(reinstatement -> reinstatement.publications == 0);
    }

    private void updateEngines(long now, EjectionHints.EngineView view) {
        Set<Long> ejected = new TreeSet<>();
        Arrays.stream(view.ejected()).limit(EjectionHints.MAX_ENGINES / 2).forEach(ejected::add);
        for (long engine : view.inUse()) {
            if (ejectedAtByEngine.remove(engine) != null) {
                reinstatementsByEngine.put(engine, new Reinstatement(now));
            }
        }
        // An engine that is neither ejected nor in use was removed from the endpoint list, which
        // every front end receives.
        ejectedAtByEngine.keySet().retainAll(ejected);
        for (long engine : ejected) {
            ejectedAtByEngine.putIfAbsent(engine, now);
            reinstatementsByEngine.remove(engine);
        }
        reinstatementsByEngine
                .values()
                .removeIf(
                        reinstatement ->
                                reinstatement.publications
                                        >= EjectionHints.REINSTATEMENT_PUBLICATIONS);
    }

    private EjectionHintMessage createMessage(long now) {
        List<EjectionHintMessage.Entry> entries = new ArrayList<>();
        ejectedAtByEngine.forEach(
                (engine, ejectedAt) -> entries.add(createEntry(engine, false, now - ejectedAt)));
        reinstatementsByEngine.forEach(
                (engine, reinstatement) -> {
                    reinstatement.publications++;
                    entries.add(createEntry(engine, true, now - reinstatement.reinstatedAt));
                });
        lastSequenceNumber++;
        return new EjectionHintMessage(
                lastSequenceNumber, entries.stream().limit(EjectionHints.MAX_ENGINES).toList());
    }

    private static EjectionHintMessage.Entry createEntry(
            long engine, boolean served, long ageNanos) {
        long ageMillis = ageNanos / NANOS_PER_MILLI;
        return new EjectionHintMessage.Entry(
                engine, served, (int) Math.max(0, Math.min(Integer.MAX_VALUE, ageMillis)));
    }
}
