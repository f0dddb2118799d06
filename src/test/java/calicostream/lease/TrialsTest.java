// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.Bytes;
import calicostream.cluster.ClusterException;
import calicostream.lease.Trials.Hint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** One process tells of its trials; the others hear of it, each thing once, and go on without it. */
class TrialsTest {
    private static final long SEED = 25;
    private static final long MILLI = 1_000_000;
    private static final long TICK = 50 * MILLI;

    /** A process: engines 1 to 9, of which some are left out. */
    private static final class Process implements Trials.FrontEnd {
        final TreeSet<Long> out = new TreeSet<>();
        final TreeSet<Long> listed = new TreeSet<>(List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L));
        final List<String> hinted = new ArrayList<>();
        final Trials trials = new Trials(this);

        @Override
        public Trials.View view() {
            return new Trials.View(listed.stream().filter(out::contains).mapToLong(id -> id).toArray(),
                    listed.stream().filter(id -> !out.contains(id)).mapToLong(id -> id).toArray());
        }

        @Override
        public void hinted(long engine, boolean served) {
            hinted.add(engine + (served ? " served" : " out"));
        }
    }

    private long now;
    private boolean isLost;
    private final Process holder = new Process();
    private final Process other = new Process();
    private final List<byte[]> words = new ArrayList<>();
    private final Holder held = new Holder(Trials.LEASE, 1000 * 1000 * MILLI, 0);
    private final Acts acts = new Acts(held, () -> now, "lease", (machine, body, done) ->
            words.add(((LeaseCommand.Act) LeaseCommand.decode(body)).payload()));

    private void hold() {
        held.want();
        held.answered(now, held.next(now).number(), new LeaseAnswer.Holds(4));
        holder.trials.started(acts);
    }

    private void pass(long millis) {
        for (long until = now + millis * MILLI; now < until; now += TICK) {
            int before = words.size();
            holder.trials.step(acts, now);
            for (byte[] word : words.subList(before, words.size())) {
                holder.trials.heard(4, word, now);
                if (!isLost) {
                    other.trials.heard(4, word, now);
                    other.trials.heard(4, word, now); // There twice.
                }
            }
        }
    }

    @Test
    void theOthersHearWhatIsTriedAndOnceWhatHasServed() {
        hold();
        pass(5_000);
        assertEquals(0, words.size(), "where nothing is out the log is left alone");
        holder.out.add(3L);
        pass(2_500);
        assertEquals(List.of("3 out", "3 out", "3 out"), other.hinted);
        assertEquals(List.of(), holder.hinted);
        holder.out.remove(3L);
        pass(10_000);
        assertEquals("3 served", other.hinted.get(other.hinted.size() - 1));
        assertEquals(1, other.hinted.stream().filter("3 served"::equals).count());
        assertEquals(3 + Trials.SAYINGS, words.size());
        Hint hint = other.trials.hints(now).get(3L);
        assertTrue(hint.served() && hint.ageNanos() >= 9_000 * MILLI, hint.toString());
        holder.out.add(3L);
        pass(200);
        holder.out.remove(3L);
        pass(2_000);
        assertEquals(2, other.hinted.stream().filter("3 served"::equals).count());
        assertTrue(other.trials.figures().contains("\"3\":{\"served\":true"), other.trials.figures());
    }

    @Test
    void whatIsGoneFromTheListHasNotServed() {
        hold();
        holder.out.add(3L);
        pass(500);
        holder.listed.remove(3L);
        pass(3_000);
        assertEquals(List.of("3 out"), other.hinted);
    }

    @Test
    void lostWordsCostAPeriodAndOldOnesNothing() {
        hold();
        holder.out.add(3L);
        isLost = true;
        pass(900);
        isLost = false;
        pass(1_000);
        assertEquals(List.of("3 out"), other.hinted);
        holder.out.remove(3L);
        pass(300);
        assertEquals(List.of("3 out", "3 served"), other.hinted);
        other.trials.heard(4, words.get(0), now);
        other.trials.heard(3, words.get(words.size() - 1), now);
        assertEquals(List.of("3 out", "3 served"), other.hinted);
        // The next holder's numbers begin again under its greater token.
        other.trials.heard(5, words.get(0), now);
        assertEquals(List.of("3 out", "3 served", "3 out"), other.hinted);
    }

    @Test
    void wordsAreBoundedAndWhatIsNoWordChangesNothing() {
        Random random = new Random(SEED);
        hold();
        for (long id = 10; id < 3 * Trials.MOST; id++) {
            holder.listed.add(id);
            holder.out.add(id);
        }
        pass(1_200);
        holder.out.clear();
        pass(300);
        assertTrue(words.stream().allMatch(word -> word.length <= Limits.PAYLOAD && new Bytes.Reader("word", word).u8() == 1));
        assertTrue(other.trials.hints(now).size() <= Trials.MOST);
        Map<Long, Hint> before = other.trials.hints(now);
        int hinted = other.hinted.size();
        byte[] right = words.get(0);
        for (int i = 0; i < 200; i++) {
            byte[] cut = java.util.Arrays.copyOf(right, random.nextInt(right.length));
            assertThrows(ClusterException.Malformed.class, () -> other.trials.heard(9, cut, now), "seed " + SEED);
        }
        assertEquals(before, other.trials.hints(now));
        assertEquals(hinted, other.hinted.size());
    }
}
