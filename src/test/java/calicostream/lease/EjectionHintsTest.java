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
    private final List<byte[]> messages = pair.messages;

    @Test
    void ejectionIsRepeatedAndReinstatementPassedOnOnce() {
        pair.grantToHolder();
        pair.pass(5_000);
        assertEquals(0, messages.size(), "where nothing is out the log is left alone");
        holder.ejected.add(3L);
        pair.pass(2_500);
        assertEquals(List.of("3 out", "3 out", "3 out"), other.receivedHints);
        assertEquals(List.of(), holder.receivedHints);
        holder.ejected.remove(3L);
        pair.pass(10_000);
        assertEquals("3 served", other.receivedHints.get(other.receivedHints.size() - 1));
        assertEquals(1, other.receivedHints.stream().filter("3 served"::equals).count());
        assertEquals(3 + EjectionHints.REINSTATEMENT_PUBLICATIONS, messages.size());
        Hint hint = other.ejectionHints.hints(pair.now).get(3L);
        assertTrue(
                hint.served() && hint.ageNanos() >= 9_000 * EjectionHintsPair.NANOS_PER_MILLI,
                hint.toString());
        holder.ejected.add(3L);
        pair.pass(200);
        holder.ejected.remove(3L);
        pair.pass(2_000);
        assertEquals(2, other.receivedHints.stream().filter("3 served"::equals).count());
        assertTrue(
                other.ejectionHints.statusJson().contains("\"3\":{\"served\":true"),
                other.ejectionHints.statusJson());
    }

    @Test
    void engineRemovedFromTheListIsNotReinstated() {
        pair.grantToHolder();
        holder.ejected.add(3L);
        pair.pass(500);
        holder.listed.remove(3L);
        pair.pass(3_000);
        assertEquals(List.of("3 out"), other.receivedHints);
    }

    @Test
    void lostMessageCostsOneIntervalAndOutdatedOnesAreIgnored() {
        pair.grantToHolder();
        holder.ejected.add(3L);
        pair.losesMessages = true;
        pair.pass(900);
        pair.losesMessages = false;
        pair.pass(1_000);
        assertEquals(List.of("3 out"), other.receivedHints);
        holder.ejected.remove(3L);
        pair.pass(300);
        assertEquals(List.of("3 out", "3 served"), other.receivedHints);
        other.ejectionHints.onAction(4, messages.get(0), pair.now);
        other.ejectionHints.onAction(3, messages.get(messages.size() - 1), pair.now);
        assertEquals(List.of("3 out", "3 served"), other.receivedHints);
        // The next holder's numbers begin again under its greater token.
        other.ejectionHints.onAction(5, messages.get(0), pair.now);
        assertEquals(List.of("3 out", "3 served", "3 out"), other.receivedHints);
    }

    @Test
    void messagesAreBoundedAndMalformedOnesChangeNothing() {
        Random random = new Random(SEED);
        pair.grantToHolder();
        for (long id = 10; id < 3 * EjectionHints.MAX_ENGINES; id++) {
            holder.listed.add(id);
            holder.ejected.add(id);
        }
        pair.pass(1_200);
        holder.ejected.clear();
        pair.pass(300);
        assertTrue(
                messages.stream()
                        .allMatch(
                                word ->
                                        word.length <= LeaseLimits.MAX_PAYLOAD_BYTES
                                                && new BinaryCodec.Reader("word", word).u8() == 1));
        assertTrue(other.ejectionHints.hints(pair.now).size() <= EjectionHints.MAX_ENGINES);
        Map<Long, Hint> before = other.ejectionHints.hints(pair.now);
        int hinted = other.receivedHints.size();
        byte[] right = messages.get(0);
        for (int i = 0; i < 200; i++) {
            byte[] cut = java.util.Arrays.copyOf(right, random.nextInt(right.length));
            assertThrows(
                    ClusterException.Malformed.class,
                    () -> other.ejectionHints.onAction(9, cut, pair.now),
                    "seed " + SEED);
        }
        assertEquals(before, other.ejectionHints.hints(pair.now));
        assertEquals(hinted, other.receivedHints.size());
    }
}
