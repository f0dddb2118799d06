// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class PartialMessagesTest {
    private static final long MAX_BYTES = 100;
    private final AtomicLong nanos = new AtomicLong();
    private final PartialMessages messages = new PartialMessages(MAX_BYTES, nanos::get);
    private final List<String> givenUp = new ArrayList<>();
    private final PartialMessages.Holder first = () -> givenUp.add("first");
    private final PartialMessages.Holder second = () -> givenUp.add("second");
    private final PartialMessages.Holder third = () -> givenUp.add("third");

    @Test
    void readsAllWhileTheyKeepToTheBound() {
        messages.received(first, 60);
        messages.received(second, 40);
        assertTrue(messages.mayRead(first));
        assertTrue(messages.mayRead(second));
    }

    @Test
    void readsTheMessageThatBeganFirstOnAndLetsOthersWait() {
        messages.received(first, 60);
        messages.received(second, 60);
        assertTrue(messages.mayRead(first));
        assertFalse(messages.mayRead(second));
        messages.ended(first);
        assertTrue(messages.mayRead(second));
        assertEquals(60, messages.bytes());
    }

    @Test
    void givesUpAMessageThatStopsWhileOthersWaitForIt() {
        messages.received(first, 60);
        messages.received(second, 60);
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(5));
        assertFalse(messages.mayRead(second), "its time begins when others wait");
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(2));
        assertTrue(messages.mayRead(second));
        assertEquals(List.of("first"), givenUp);
    }

    @Test
    void sparesAMessageThatWaitsItself() {
        messages.received(first, 60);
        messages.received(second, 60);
        messages.received(third, 60);
        for (int i = 0; i < 100; i++) {
            nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(100));
            messages.received(first, 1);
            assertFalse(messages.mayRead(second));
            assertFalse(messages.mayRead(third));
        }
        assertEquals(List.of(), givenUp);
    }

    @Test
    void oneMessageAloneMayBeOfAnyLength() {
        messages.received(first, 1000);
        messages.received(first, 1000);
        assertTrue(messages.mayRead(first));
        messages.ended(first);
        messages.ended(first);
        assertEquals(0, messages.bytes());
    }
}
