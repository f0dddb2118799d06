// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.lease.Trials.Hint;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** One process of many tries; the others hear of it, and go on without it. */
class TrialsTest {
    private static final Trials.Pace PACE = new Trials.Pace(100, 500, 1000);

    @Test
    void oneTriesAndTheOthersHear() {
        List<Trials> fleet = Stream.generate(() -> new Trials(PACE)).limit(100).toList();
        fleet.forEach(each -> each.benched(0, 7));
        int tried = 0;
        for (long now = 0; now < 5000; now += 10) {
            for (int i = 0; i < fleet.size(); i++) {
                OptionalLong engine = fleet.get(i).next(now, i == 3);
                if (engine.isPresent()) {
                    assertEquals(3, i);
                    tried++;
                    byte[] word = fleet.get(i).tried(now, engine.getAsLong(), false);
                    for (Trials each : fleet) {
                        each.heard(now + 2, word, 1);
                    }
                }
            }
        }
        assertEquals(49, tried);
        assertEquals(Optional.of(new Hint(false, 99)), fleet.get(50).hint(5000, 7));
        assertEquals(Optional.empty(), fleet.get(50).hint(6000, 7), "too old to be worth something");
    }

    @Test
    void whoHearsNothingTriesForItself() {
        Trials alone = new Trials(PACE);
        alone.benched(0, 7);
        alone.benched(5, 8);
        assertTrue(alone.next(999, false).isEmpty());
        assertEquals(OptionalLong.of(7), alone.next(1005, false));
        assertTrue(alone.next(1005, false).isEmpty(), "one at a time");
        alone.tried(1010, 7, true);
        assertEquals(OptionalLong.of(8), alone.next(1010, false));
        assertEquals(Optional.of(new Hint(true, 0)), alone.hint(1010, 7));
    }

    @Test
    void wordFromBeforeTheBenchOrOlderThanWhatIsKnownSaysNothing() {
        Trials trials = new Trials(PACE);
        byte[] served = trials.tried(0, 7, true);
        trials.benched(100, 7);
        trials.heard(110, served, 20);
        assertEquals(Optional.empty(), trials.hint(110, 7));
        trials.heard(120, trials.tried(115, 7, false), 50);
        trials.heard(130, served, 40);
        assertEquals(Optional.of(new Hint(false, 15)), trials.hint(130, 7));
        trials.back(7);
        assertEquals(Optional.empty(), trials.hint(130, 7));
    }
}
