// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.lease.EjectionHints.Hint;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** {@link EjectionHints} of a holder and of a receiver. */
class EjectionHintsTest {
    private static final long SEED = 25;

    private final EjectionHintsPair pair = new EjectionHintsPair();
    private final EjectionHintsPair.Process holder = pair.holder;
    private final EjectionHintsPair.Process receiver = pair.receiver;
    private final List<byte[]> messages = pair.messages;

    @Test
    void ejectionIsRepeatedAndReinstatementIsPassedOnOnce() {
        pair.grantToHolder();
        pair.advance(5_000);
        assertEquals(0, messages.size(), "nothing is published while nothing is ejected");
        holder.ejected.add(3L);
        pair.advance(2_500);
        assertEquals(List.of("3 ejected", "3 ejected", "3 ejected"), receiver.receivedHints);
        assertEquals(List.of(), holder.receivedHints);
        holder.ejected.remove(3L);
        pair.advance(10_000);
        assertEquals("3 served", receiver.receivedHints.get(receiver.receivedHints.size() - 1));
        assertEquals(1, receiver.receivedHints.stream().filter("3 served"::equals).count());
        assertEquals(3 + EjectionHints.REINSTATEMENT_PUBLICATIONS, messages.size());
        Hint hint = receiver.ejectionHints.hints(pair.nowNanos).get(3L);
        assertTrue(
                hint.served() && hint.ageNanos() >= 9_000 * EjectionHintsPair.NANOS_PER_MILLI,
                hint.toString());
        holder.ejected.add(3L);
        pair.advance(200);
        holder.ejected.remove(3L);
        pair.advance(2_000);
        assertEquals(2, receiver.receivedHints.stream().filter("3 served"::equals).count());
        assertTrue(
                receiver.ejectionHints.statusJson().contains("\"3\":{\"served\":true"),
                receiver.ejectionHints.statusJson());
    }

    @Test
    void engineRemovedFromListIsNotReinstated() {
        pair.grantToHolder();
        holder.ejected.add(3L);
        pair.advance(500);
        holder.listedEngines.remove(3L);
        pair.advance(3_000);
        assertEquals(List.of("3 ejected"), receiver.receivedHints);
    }

    @Test
    void lostMessageIsRepeatedAndOutdatedMessageIsIgnored() {
        pair.grantToHolder();
        holder.ejected.add(3L);
        pair.dropsMessages = true;
        pair.advance(900);
        pair.dropsMessages = false;
        pair.advance(1_000);
        assertEquals(List.of("3 ejected"), receiver.receivedHints);
        holder.ejected.remove(3L);
        pair.advance(300);
        assertEquals(List.of("3 ejected", "3 served"), receiver.receivedHints);
        receiver.ejectionHints.onAction(4, messages.get(0), pair.nowNanos);
        receiver.ejectionHints.onAction(3, messages.get(messages.size() - 1), pair.nowNanos);
        assertEquals(List.of("3 ejected", "3 served"), receiver.receivedHints);
        // The next holder numbers its messages from 1 again, under a greater token.
        receiver.ejectionHints.onAction(5, messages.get(0), pair.nowNanos);
        assertEquals(List.of("3 ejected", "3 served", "3 ejected"), receiver.receivedHints);
    }

    @Test
    void messageSizeIsBoundedAndMalformedMessageChangesNothing() {
        Random random = new Random(SEED);
        pair.grantToHolder();
        for (long id = 10; id < 3 * EjectionHints.MAX_ENGINES; id++) {
            holder.listedEngines.add(id);
            holder.ejected.add(id);
        }
        pair.advance(1_200);
        holder.ejected.clear();
        pair.advance(300);
        assertTrue(
                messages.stream()
                        .allMatch(
                                message ->
                                        message.length <= LeaseLimits.MAX_PAYLOAD_BYTES
                                                && new BinaryCodec.Reader("message", message).u8()
                                                        == 1));
        assertTrue(receiver.ejectionHints.hints(pair.nowNanos).size() <= EjectionHints.MAX_ENGINES);
        Map<Long, Hint> before = receiver.ejectionHints.hints(pair.nowNanos);
        int hintCount = receiver.receivedHints.size();
        byte[] valid = messages.get(0);
        for (int i = 0; i < 200; i++) {
            byte[] truncated = Arrays.copyOf(valid, random.nextInt(valid.length));
            assertThrows(
                    ClusterException.Malformed.class,
                    () -> receiver.ejectionHints.onAction(9, truncated, pair.nowNanos),
                    "seed " + SEED);
        }
        assertEquals(before, receiver.ejectionHints.hints(pair.nowNanos));
        assertEquals(hintCount, receiver.receivedHints.size());
    }
}
