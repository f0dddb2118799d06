// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DescriptorsTest {
    /**
     * Whatever another part takes is neither the clients' nor the engines', and all together stay
     * under the limit.
     */
    @Test
    void whatAnotherPartTakesIsSetAside() {
        for (int limit = 150; limit <= 4096; limit += 61) {
            Descriptors alone = Descriptors.of(limit, 20);
            Descriptors beside = alone.beside(limit, 54);
            assertEquals(74, beside.own());
            assertTrue(
                    beside.clients() + beside.engines() + beside.own() < limit,
                    limit + ": " + beside);
            assertTrue(
                    beside.clients() + beside.engines() <= alone.clients() + alone.engines() - 54,
                    limit + ": " + beside);
            assertEquals(beside, Descriptors.of(limit, beside.own()));
        }
    }
}
