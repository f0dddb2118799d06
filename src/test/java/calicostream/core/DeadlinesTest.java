// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order of {@link Deadlines}. */
class DeadlinesTest {
    @Test
    void deadlinesPassInOrderAndEqualOnesAsAdded() {
        Deadlines heap = new Deadlines();
        List<Long> seen = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            heap.add(i * 7919L % 100, (now, ref) -> seen.add(ref), i * 7919L % 100 * 1000 + i);
        }
        heap.run(1000);
        assertEquals(seen.stream().sorted().toList(), seen);
        assertEquals(1000, seen.size());
    }
}
