// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which {@link Deadlines} calls its callbacks. */
class DeadlinesTest {
    @Test
    void deadlinesAreRunByTimeThenInsertionOrder() {
        Deadlines deadlines = new Deadlines();
        List<Long> calledArguments = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            deadlines.add(
                    i * 7919L % 100,
                    (now, argument) -> calledArguments.add(argument),
                    i * 7919L % 100 * 1000 + i);
        }
        deadlines.run(1000);
        assertEquals(calledArguments.stream().sorted().toList(), calledArguments);
        assertEquals(1000, calledArguments.size());
    }
}
