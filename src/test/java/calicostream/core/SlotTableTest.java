// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Tests the handles of a {@link SlotTable}. */
class SlotTableTest {
    @Test
    void handleOfRemovedEntryFindsNoEntry() {
        SlotTable<String> slots = new SlotTable<>();
        long first = slots.add("a");
        slots.remove(first);
        long second = slots.add("b");
        assertNull(slots.get(first));
        assertNull(slots.remove(first));
        assertEquals("b", slots.get(second));
        assertFalse(first == second);
    }
}
