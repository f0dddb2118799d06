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

/** {@link EjectionHints} of a holder and of a receiver; a reinstatement is passed on once. */
class EjectionHintsTest {
    private static final long SEED = 25;

    private final EjectionHintsPair pair = new EjectionHintsPair();
    private final EjectionHintsPair.Process holder = pair.holder;
    private final EjectionHintsPair.Process receiver = pair.receiver;
    private final List<byte[]> messages = pair.messages;

    @Test
    void ejectionIsRepeatedAndReinstatementPassedOnOnce() {
        pair.grantToHolder();
        pair.pass(5_000);
        assertEquals(0, messages.size(), "nothing is published while nothing is ejected");
        holder.ejected.add(3L);
        pair.pass(2_500);
        assertEquals(List.of("3 ejected", "3 ejected", "3 ejected"), receiver.receivedHints);
        assertEquals(List.of(), holder.receivedHints);
        holder.ejected.remove(3L);
        pair.pass(10_000);
        assertEquals("3 served", receiver.receivedHints.get(receiver.receivedHints.size() - 1));
        assertEquals(1, receiver.receivedHints.stream().filter("3 served"::equals).count());
        assertEquals(3 + EjectionHints.REINSTATEMENT_PUBLICATIONS, messages.size());
        Hint hint = receiver.ejectionHints.hints(pair.now).get(3L);
        assertTrue(
                hint.served() && hint.ageNanos() >= 9_000 * EjectionHintsPair.NANOS_PER_MILLI,
                hint.toString());
        holder.ejected.add(3L);
        pair.pass(200);
        holder.ejected.remove(3L);
        pair.pass(2_000);
        assertEquals(2, receiver.receivedHints.stream().filter("3 served"::equals).count());
        assertTrue(
                receiver.ejectionHints.statusJson().contains("\"3\":{\"served\":true"),
                receiver.ejectionHints.statusJson());
    }

    @Test
    void engineRemovedFromTheListIsNotReinstated() {
        pair.grantToHolder();
        holder.ejected.add(3L);
        pair.pass(500);
        holder.listed.remove(3L);
        pair.pass(3_000);
        assertEquals(List.of("3 ejected"), receiver.receivedHints);
    }

    @Test
    void lostMessageCostsOneIntervalAndOutdatedOnesAreIgnored() {
        pair.grantToHolder();
        holder.ejected.add(3L);
        pair.losesMessages = true;
        pair.pass(900);
        pair.losesMessages = false;
        pair.pass(1_000);
        assertEquals(List.of("3 ejected"), receiver.receivedHints);
        holder.ejected.remove(3L);
        pair.pass(300);
        assertEquals(List.of("3 ejected", "3 served"), receiver.receivedHints);
        receiver.ejectionHints.onAction(4, messages.get(0), pair.now);
        receiver.ejectionHints.onAction(3, messages.get(messages.size() - 1), pair.now);
        assertEquals(List.of("3 ejected", "3 served"), receiver.receivedHints);
        // The next holder's numbers begin again under its greater token.
        receiver.ejectionHints.onAction(5, messages.get(0), pair.now);
        assertEquals(List.of("3 ejected", "3 served", "3 ejected"), receiver.receivedHints);
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
                                message ->
                                        message.length <= LeaseLimits.MAX_PAYLOAD_BYTES
                                                && new BinaryCodec.Reader("message", message).u8()
                                                        == 1));
        assertTrue(receiver.ejectionHints.hints(pair.now).size() <= EjectionHints.MAX_ENGINES);
        Map<Long, Hint> before = receiver.ejectionHints.hints(pair.now);
        int hintCount = receiver.receivedHints.size();
        byte[] valid = messages.get(0);
        for (int i = 0; i < 200; i++) {
            byte[] cut = Arrays.copyOf(valid, random.nextInt(valid.length));
            assertThrows(
                    ClusterException.Malformed.class,
                    () -> receiver.ejectionHints.onAction(9, cut, pair.now),
                    "seed " + SEED);
        }
        assertEquals(before, receiver.ejectionHints.hints(pair.now));
        assertEquals(hintCount, receiver.receivedHints.size());
    }
}
