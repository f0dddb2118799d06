// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.prove.Explorer;
import calicostream.prove.Model;
import calicostream.prove.Mutant;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A bounded subset of {@code make prove-lease}. */
class LeaseProofsTest {
    private static final long BOUNDED_STATES = 40_000;
    private static final long MAX_STATES = 1_000_000;

    static Stream<Mutant> safeguards() {
        return LeaseProofs.modelsWithoutSafeguard().keySet().stream();
    }

    @Test
    void noModelViolatesAnInvariantInItsFirstStates() {
        for (Supplier<Model> model : LeaseProofs.completeModels()) {
            Explorer.Result result = Explorer.explore(model.get(), BOUNDED_STATES);
            assertNull(result.violation(), result::toString);
            assertTrue(result.states() >= BOUNDED_STATES || result.complete(), result::toString);
        }
    }

    @ParameterizedTest
    @MethodSource("safeguards")
    void removalOfEachSafeguardIsDetected(Mutant safeguard) {
        Explorer.Result result =
                Explorer.explore(LeaseProofs.modelsWithoutSafeguard().get(safeguard), MAX_STATES);
        assertNotNull(result.violation(), result::toString);
        assertEquals(
                result.depth(),
                result.trace().size(),
                "the trace leads from an initial state to the violation");
    }

    /** The explorer visits every state once and reports the shortest trace to a violation. */
    @Test
    void explorerVisitsAllStatesAndFindsTheShortestTrace() {
        Explorer.Result completeExploration = Explorer.explore(new Counters(100), MAX_STATES);
        assertEquals(100 * 100, completeExploration.states());
        assertTrue(completeExploration.complete());
        Explorer.Result violatedExploration = Explorer.explore(new Counters(6), MAX_STATES);
        assertEquals(
                List.of("0", "0", "0", "0", "0", "1", "1", "1", "1", "1"),
                violatedExploration.trace().stream().sorted().toList());
    }

    /**
     * Two counters modulo {@code size}. If the size is 6, the state with both counters at the
     * maximum is a violation.
     */
    private record Counters(int size) implements Model {
        @Override
        public String name() {
            return "counters";
        }

        @Override
        public List<byte[]> initial() {
            return List.of(new byte[2]);
        }

        @Override
        public void transitions(byte[] state, Transitions successors) {
            for (int i = 0; i < 2; i++) {
                byte[] next = state.clone();
                next[i] = (byte) ((next[i] + 1) % size);
                successors.to(i, next);
                if (size == 6 && next[0] == 5 && next[1] == 5) {
                    successors.violation(i, "both at the maximum");
                }
            }
        }

        @Override
        public String describe(int action) {
            return Integer.toString(action);
        }
    }
}
