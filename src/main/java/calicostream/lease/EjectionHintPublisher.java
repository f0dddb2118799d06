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
 * The holder's side of {@link EjectionHints}: follows the local front end's view and decides what
 * to publish when. Confined to one thread; times in nanoseconds.
 */
final class EjectionHintPublisher {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;
    private static final long REPEAT_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

    /** An engine that served again, and how often that was published. */
    private static final class Reinstatement {
        private final long since;
        private int publications;

        Reinstatement(long since) {
            this.since = since;
        }
    }

    private final Map<Long, Long> ejectedSince = new TreeMap<>();
    private final Map<Long, Reinstatement> reinstatements = new TreeMap<>();
    private Set<Long> publishedEjected = Set.of();
    private boolean published;
    private long publishedAt;
    private long messageNumber;

    /** The lease was granted: nothing is published yet under its token. */
    void reset() {
        published = false;
        messageNumber = 0;
        ejectedSince.clear();
        reinstatements.clear();
        publishedEjected = Set.of();
    }

    /** Number of messages published under the last token. */
    long messageCount() {
        return messageNumber;
    }

    /** Whether the last message is too recent for another one. */
    boolean isThrottled(long now) {
        return published && now - publishedAt < MIN_INTERVAL_NANOS;
    }

    /**
     * Takes the front end's present view.
     *
     * @return the message to publish, which is counted as published; empty if none is due
     */
    Optional<EjectionHintMessage> update(long now, EjectionHints.EngineView view) {
        follow(now, view);
        if (ejectedSince.isEmpty() && reinstatements.isEmpty()) {
            return Optional.empty();
        }
        if (!hasChanged() && now - publishedAt < REPEAT_INTERVAL_NANOS) {
            return Optional.empty();
        }
        published = true;
        publishedAt = now;
        publishedEjected = Set.copyOf(ejectedSince.keySet());
        return Optional.of(createMessage(now));
    }

    private boolean hasChanged() {
        return !ejectedSince.keySet().equals(publishedEjected)
                || reinstatements.values().stream().anyMatch(each -> each.publications == 0);
    }

    private void follow(long now, EjectionHints.EngineView view) {
        Set<Long> ejected = new TreeSet<>();
        Arrays.stream(view.ejected()).limit(EjectionHints.MAX_ENGINES / 2).forEach(ejected::add);
        for (long engine : view.inUse()) {
            if (ejectedSince.remove(engine) != null) {
                reinstatements.put(engine, new Reinstatement(now));
            }
        }
        // What is neither ejected nor in use was removed from the endpoint list, which all have.
        ejectedSince.keySet().retainAll(ejected);
        for (long engine : ejected) {
            ejectedSince.putIfAbsent(engine, now);
            reinstatements.remove(engine);
        }
        reinstatements
                .values()
                .removeIf(each -> each.publications >= EjectionHints.REINSTATEMENT_PUBLICATIONS);
    }

    private EjectionHintMessage createMessage(long now) {
        List<EjectionHintMessage.Entry> entries = new ArrayList<>();
        ejectedSince.forEach((engine, since) -> entries.add(entry(engine, false, now - since)));
        reinstatements.forEach(
                (engine, reinstatement) -> {
                    reinstatement.publications++;
                    entries.add(entry(engine, true, now - reinstatement.since));
                });
        messageNumber++;
        return new EjectionHintMessage(
                messageNumber, entries.stream().limit(EjectionHints.MAX_ENGINES).toList());
    }

    private static EjectionHintMessage.Entry entry(long engine, boolean served, long ageNanos) {
        long ageMillis = ageNanos / NANOS_PER_MILLI;
        return new EjectionHintMessage.Entry(
                engine, served, (int) Math.max(0, Math.min(Integer.MAX_VALUE, ageMillis)));
    }
}
