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

/** A bounded part of {@code make prove-lease}. */
class LeaseProofsTest {
    private static final long STATES = 40_000;
    private static final long MOST = 1_000_000;

    static Stream<Mutant> safeguards() {
        return LeaseProofs.without().keySet().stream();
    }

    @Test
    void noPromiseIsBrokenInTheFirstStatesOfAnyModel() {
        for (Supplier<Model> each : LeaseProofs.whole()) {
            Explorer.Result result = Explorer.explore(each.get(), STATES);
            assertNull(result.broken(), result::toString);
            assertTrue(result.states() >= STATES || result.complete(), result::toString);
        }
    }

    @ParameterizedTest
    @MethodSource("safeguards")
    void theLackOfEachSafeguardIsFound(Mutant each) {
        Explorer.Result result = Explorer.explore(LeaseProofs.without().get(each), MOST);
        assertNotNull(result.broken(), result::toString);
        assertEquals(
                result.depth(),
                result.trace().size(),
                "the trace goes from the start to the break");
    }

    /** The explorer by itself: every state once, the shortest way to a break. */
    @Test
    void theExplorerVisitsAllAndFindsTheShortestWay() {
        Explorer.Result all = Explorer.explore(new Counters(100), MOST);
        assertEquals(100 * 100, all.states());
        assertTrue(all.complete());
        Explorer.Result broken = Explorer.explore(new Counters(6), MOST);
        assertEquals(
                List.of("0", "0", "0", "0", "0", "1", "1", "1", "1", "1"),
                broken.trace().stream().sorted().toList());
    }

    /** Two counters; of small ones it is forbidden that both reach the top. */
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
        public void steps(byte[] state, Steps steps) {
            for (int i = 0; i < 2; i++) {
                byte[] next = state.clone();
                next[i] = (byte) ((next[i] + 1) % size);
                steps.to(i, next);
                if (size == 6 && next[0] == 5 && next[1] == 5) {
                    steps.broken(i, "both at the top");
                }
            }
        }

        @Override
        public String describe(int action) {
            return Integer.toString(action);
        }
    }
}
