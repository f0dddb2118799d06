// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Simulates two processes with {@link EjectionHints} in virtual time (nanoseconds): one holds the
 * lease, the other receives each message either twice or not at all. Confined to one thread.
 */
final class EjectionHintsPair {
    static final long NANOS_PER_MILLI = 1_000_000;
    private static final long HOLDER_TOKEN = 4;
    private static final long TICK_NANOS = 50 * NANOS_PER_MILLI;

    /** A front end with the engines 1 to 9, some of which may be ejected. */
    static final class Process implements EjectionHints.FrontEnd {
        final TreeSet<Long> ejected = new TreeSet<>();
        final TreeSet<Long> listedEngines =
                new TreeSet<>(List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L));
        final List<String> receivedHints = new ArrayList<>();
        final EjectionHints ejectionHints = new EjectionHints(this);

        @Override
        public EjectionHints.EngineView view() {
            return new EjectionHints.EngineView(
                    listedEngines.stream().filter(ejected::contains).mapToLong(id -> id).toArray(),
                    listedEngines.stream()
                            .filter(id -> !ejected.contains(id))
                            .mapToLong(id -> id)
                            .toArray());
        }

        @Override
        public void onHint(long engine, boolean served) {
            receivedHints.add(engine + (served ? " served" : " ejected"));
        }
    }

    long nowNanos;

    /** Whether messages to the receiver are lost. */
    boolean dropsMessages;

    final Process holder = new Process();
    final Process receiver = new Process();

    /** All messages that the holder published. */
    final List<byte[]> messages = new ArrayList<>();

    private final LeaseHolder leaseHolder =
            new LeaseHolder(EjectionHints.LEASE, 1000 * 1000 * NANOS_PER_MILLI, 0);
    private final FencedActions actions =
            new FencedActions(
                    leaseHolder,
                    () -> nowNanos,
                    "lease",
                    (machine, body, onOutcome) ->
                            messages.add(
                                    ((LeaseCommand.FencedAction) LeaseCommand.decode(body))
                                            .payload()));

    /** Grants the lease to the holder. */
    void grantToHolder() {
        leaseHolder.acquire();
        leaseHolder.onAnswer(
                nowNanos,
                leaseHolder.nextRequest(nowNanos).number(),
                new LeaseAnswer.Held(HOLDER_TOKEN));
        holder.ejectionHints.onStarted(actions);
    }

    /** Advances the time, and runs the holder's task and delivers its messages at each tick. */
    void advance(long millis) {
        for (long endNanos = nowNanos + millis * NANOS_PER_MILLI;
                nowNanos < endNanos;
                nowNanos += TICK_NANOS) {
            int previousCount = messages.size();
            holder.ejectionHints.step(actions, nowNanos);
            for (byte[] message : messages.subList(previousCount, messages.size())) {
                holder.ejectionHints.onAction(HOLDER_TOKEN, message, nowNanos);
                if (!dropsMessages) {
                    // The message is delivered twice, as a duplicate.
                    receiver.ejectionHints.onAction(HOLDER_TOKEN, message, nowNanos);
                    receiver.ejectionHints.onAction(HOLDER_TOKEN, message, nowNanos);
                }
            }
        }
    }
}
