// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * One process that tells of its trials, and another that hears each thing twice, or not; in virtual
 * time (nanoseconds). One thread.
 */
final class EjectionHintsPair {
    static final long MILLI = 1_000_000;
    private static final long TICK = 50 * MILLI;

    /** A process: engines 1 to 9, of which some are left out. */
    static final class Process implements EjectionHints.FrontEnd {
        final TreeSet<Long> out = new TreeSet<>();
        final TreeSet<Long> listed = new TreeSet<>(List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L));
        final List<String> hinted = new ArrayList<>();
        final EjectionHints trials = new EjectionHints(this);

        @Override
        public EjectionHints.EngineView view() {
            return new EjectionHints.EngineView(
                    listed.stream().filter(out::contains).mapToLong(id -> id).toArray(),
                    listed.stream().filter(id -> !out.contains(id)).mapToLong(id -> id).toArray());
        }

        @Override
        public void onHint(long engine, boolean served) {
            hinted.add(engine + (served ? " served" : " out"));
        }
    }

    long now;

    /** What is told now does not reach the other. */
    boolean isLost;

    final Process holder = new Process();
    final Process other = new Process();

    /** All that was told. */
    final List<byte[]> words = new ArrayList<>();

    private final LeaseHolder held = new LeaseHolder(EjectionHints.LEASE, 1000 * 1000 * MILLI, 0);
    private final FencedActions acts =
            new FencedActions(
                    held,
                    () -> now,
                    "lease",
                    (machine, body, done) ->
                            words.add(
                                    ((LeaseCommand.FencedAction) LeaseCommand.decode(body))
                                            .payload()));

    /** The one gets the lease. */
    void hold() {
        held.acquire();
        held.onAnswer(now, held.nextRequest(now).number(), new LeaseAnswer.Held(4));
        holder.trials.onStarted(acts);
    }

    void pass(long millis) {
        for (long until = now + millis * MILLI; now < until; now += TICK) {
            int before = words.size();
            holder.trials.step(acts, now);
            for (byte[] word : words.subList(before, words.size())) {
                holder.trials.onAction(4, word, now);
                if (!isLost) {
                    other.trials.onAction(4, word, now);
                    other.trials.onAction(4, word, now); // There twice.
                }
            }
        }
    }
}
