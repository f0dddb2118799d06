// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DescriptorsTest {
    /**
     * Descriptors of an additional component must reduce those of clients and engines, and the sum
     * of all must stay below the limit.
     */
    @Test
    void subtractsDescriptorsOfAdditionalComponent() {
        for (int limit = 150; limit <= 4096; limit += 61) {
            Descriptors initial = Descriptors.of(limit, 20);
            Descriptors reduced = initial.beside(limit, 54);
            assertEquals(74, reduced.process());
            assertTrue(
                    reduced.clients() + reduced.engines() + reduced.process() < limit,
                    limit + ": " + reduced);
            assertTrue(
                    reduced.clients() + reduced.engines()
                            <= initial.clients() + initial.engines() - 54,
                    limit + ": " + reduced);
            assertEquals(reduced, Descriptors.of(limit, reduced.process()));
        }
    }
}
