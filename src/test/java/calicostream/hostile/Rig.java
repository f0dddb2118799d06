// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * A process under attack and the clients beside the attacker. A process that an attack has harmed
 * is replaced, so that each attack is judged by itself.
 */
final class Rig implements AutoCloseable {
    /** An attack leaves a few lines in the log, whatever its length. */
    private static final long MAX_LOG_LINES = 100;

    private static final long WARM_UP_MILLIS = 3000;

    /** What hostile clients do, from their first connection to their last. */
    interface Attack {
        /** Returns what to say of it beside the figures. */
        String run(Victim victim) throws Exception;
    }

    private final Path folder;
    private final boolean hasFlight;
    private Victim victim;

    Rig(Path folder, boolean hasFlight) {
        this.folder = folder;
        this.hasFlight = hasFlight;
    }

    private Victim freshVictim() throws Exception {
        Victim fresh = new Victim(Files.createTempDirectory(folder, "run"), hasFlight);
        List<Neighbour> neighbours = fresh.neighbours();
        Thread.sleep(WARM_UP_MILLIS); // Classes are loaded before anything is timed.
        for (Neighbour each : neighbours) {
            each.close();
            assertTrue(each.answers() > 0, each::toString);
        }
        return fresh;
    }

    /** Everybody else is served in time, the process stays within its memory and logs little. */
    void assertHarmsNobodyElse(String name, Attack attack) throws Exception {
        Victim attacked = victim == null ? freshVictim() : victim;
        victim = null;
        long linesBefore = attacked.program().loggedLines();
        List<Neighbour> neighbours = attacked.neighbours();
        try {
            String said = attack.run(attacked);
            for (Neighbour each : neighbours) {
                each.close();
            }
            boolean isAlive = attacked.program().isAlive();
            long peak = isAlive ? attacked.program().peakMemoryMb() : -1;
            long logged = attacked.program().loggedLines() - linesBefore;
            System.out.printf(
                    "%s: %s, peak %d MB, log %d lines, %s%n", name, said, peak, logged, neighbours);
            assertTrue(isAlive, attacked.program()::firstLines);
            assertEquals(
                    List.of(),
                    neighbours.stream()
                            .map(Neighbour::complaint)
                            .filter(Objects::nonNull)
                            .toList());
            assertTrue(peak <= attacked.maxMemoryMb(), "memory of " + peak + " MB");
            assertTrue(
                    logged <= MAX_LOG_LINES,
                    () -> logged + " lines in the log: " + attacked.program().firstLines());
            victim = attacked;
        } finally {
            if (victim == null) {
                attacked.close();
            }
        }
    }

    @Override
    public void close() throws Exception {
        if (victim != null) {
            victim.close();
        }
    }
}
