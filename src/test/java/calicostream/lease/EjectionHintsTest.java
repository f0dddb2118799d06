// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.lease.EjectionHints.Hint;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * One process tells of its trials; the others hear of it, each thing once, and go on without it.
 */
class EjectionHintsTest {
    private static final long SEED = 25;

    private final EjectionHintsPair pair = new EjectionHintsPair();
    private final EjectionHintsPair.Process holder = pair.holder;
    private final EjectionHintsPair.Process other = pair.other;
    private final List<byte[]> words = pair.words;

    @Test
    void theOthersHearWhatIsTriedAndOnceWhatHasServed() {
        pair.hold();
        pair.pass(5_000);
        assertEquals(0, words.size(), "where nothing is out the log is left alone");
        holder.out.add(3L);
        pair.pass(2_500);
        assertEquals(List.of("3 out", "3 out", "3 out"), other.hinted);
        assertEquals(List.of(), holder.hinted);
        holder.out.remove(3L);
        pair.pass(10_000);
        assertEquals("3 served", other.hinted.get(other.hinted.size() - 1));
        assertEquals(1, other.hinted.stream().filter("3 served"::equals).count());
        assertEquals(3 + EjectionHints.REINSTATEMENT_PUBLICATIONS, words.size());
        Hint hint = other.trials.hints(pair.now).get(3L);
        assertTrue(
                hint.served() && hint.ageNanos() >= 9_000 * EjectionHintsPair.MILLI,
                hint.toString());
        holder.out.add(3L);
        pair.pass(200);
        holder.out.remove(3L);
        pair.pass(2_000);
        assertEquals(2, other.hinted.stream().filter("3 served"::equals).count());
        assertTrue(
                other.trials.statusJson().contains("\"3\":{\"served\":true"),
                other.trials.statusJson());
    }

    @Test
    void whatIsGoneFromTheListHasNotServed() {
        pair.hold();
        holder.out.add(3L);
        pair.pass(500);
        holder.listed.remove(3L);
        pair.pass(3_000);
        assertEquals(List.of("3 out"), other.hinted);
    }

    @Test
    void lostWordsCostAPeriodAndOldOnesNothing() {
        pair.hold();
        holder.out.add(3L);
        pair.isLost = true;
        pair.pass(900);
        pair.isLost = false;
        pair.pass(1_000);
        assertEquals(List.of("3 out"), other.hinted);
        holder.out.remove(3L);
        pair.pass(300);
        assertEquals(List.of("3 out", "3 served"), other.hinted);
        other.trials.onAction(4, words.get(0), pair.now);
        other.trials.onAction(3, words.get(words.size() - 1), pair.now);
        assertEquals(List.of("3 out", "3 served"), other.hinted);
        // The next holder's numbers begin again under its greater token.
        other.trials.onAction(5, words.get(0), pair.now);
        assertEquals(List.of("3 out", "3 served", "3 out"), other.hinted);
    }

    @Test
    void wordsAreBoundedAndWhatIsNoWordChangesNothing() {
        Random random = new Random(SEED);
        pair.hold();
        for (long id = 10; id < 3 * EjectionHints.MAX_ENGINES; id++) {
            holder.listed.add(id);
            holder.out.add(id);
        }
        pair.pass(1_200);
        holder.out.clear();
        pair.pass(300);
        assertTrue(
                words.stream()
                        .allMatch(
                                word ->
                                        word.length <= LeaseLimits.MAX_PAYLOAD_BYTES
                                                && new BinaryCodec.Reader("word", word).u8() == 1));
        assertTrue(other.trials.hints(pair.now).size() <= EjectionHints.MAX_ENGINES);
        Map<Long, Hint> before = other.trials.hints(pair.now);
        int hinted = other.hinted.size();
        byte[] right = words.get(0);
        for (int i = 0; i < 200; i++) {
            byte[] cut = java.util.Arrays.copyOf(right, random.nextInt(right.length));
            assertThrows(
                    ClusterException.Malformed.class,
                    () -> other.trials.onAction(9, cut, pair.now),
                    "seed " + SEED);
        }
        assertEquals(before, other.trials.hints(pair.now));
        assertEquals(hinted, other.hinted.size());
    }
}
