// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.rig.OperationHistory.Act;
import calicostream.rig.OperationHistory.Answer;
import com.eclipsesource.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** "A quorum lost for good" of docs/operate/cluster.md, step by step, as an operator does it. */
class LostQuorumTest {
    private static final List<Integer> LOST = List.of(1, 2);
    private static final List<Integer> LEFT = List.of(3, 4, 5);
    private final OperationHistory history = new OperationHistory();

    private long highestToken() {
        return history.copy().acts().stream()
                .filter(Act::done)
                .mapToLong(Act::token)
                .max()
                .orElse(0);
    }

    @Test
    void thePagesProcedureBringsTheServiceBack(@TempDir Path folder) throws Exception {
        try (ClusterFleet fleet =
                new ClusterFleet(folder, ClusterFleet.Plan.of(5, 3), history, 20)) {
            fleet.startAll();
            fleet.awaitLeader(List.of(1, 2, 3));
            Await.until(() -> fleet.resource.last() > 0, () -> "nobody acts");
            long begun = System.nanoTime();
            fleet.killAll(LOST);
            for (int each : LEFT) {
                fleet.awaitSigns(
                        each,
                        "no quorum",
                        signs ->
                                signs.getInt("no_quorum_ms", 0) > 0
                                        && !signs.getBoolean("session_alive", true));
            }

            // Step 2 of the page: the highest token at the resources and at the copies that are
            // left.
            JsonObject copy = fleet.signs(3).get("layers").asObject().get("lease").asObject();
            long above = 2 * Math.max(highestToken(), copy.getLong("last_token", 0));
            assertTrue(above > 0, copy.toString());

            // Steps 3 and 4: another name, voters that run, empty folders, higher tokens; one
            // process after the other.
            fleet.regroup("rig-2", LEFT, above);
            long from = System.nanoTime();
            fleet.stop(3);
            fleet.start(3);
            fleet.stop(4);
            fleet.launch(4);
            fleet.regroup(
                    "rig",
                    List.of(1, 2, 3),
                    0); // A lost voter comes back after all, as whom it was.
            fleet.launch(1);
            fleet.awaitServing(4);
            fleet.regroup("rig-2", LEFT, above);
            fleet.stop(5);
            fleet.start(5);
            fleet.awaitLeader(LEFT);
            Await.until(() -> fleet.resource.last() > from, () -> "nobody acts in the new group");
            assertTrue(highestToken() > above);

            // The lost voter finds nobody of its group, and disturbs nobody.
            fleet.awaitServing(1);
            fleet.awaitSigns(1, "no quorum", signs -> signs.getInt("no_quorum_ms", 0) > 0);
            int leader = fleet.awaitLeader(LEFT);
            assertFalse(fleet.signs(1).getBoolean("session_alive", true));
            assertEquals("rig-2", fleet.signs(leader).getString("cluster", ""));

            fleet.load.settle();
            long now = System.nanoTime();
            OperationHistoryChecker judge = new OperationHistoryChecker(history.copy());
            assertEquals(List.of(), judge.doubleActs());
            assertEquals(List.of(), judge.lost());
            assertEquals(List.of(), judge.answeredTwice());
            assertEquals(List.of(), judge.ranTwice());
            assertEquals(
                    judge.ended(Set.copyOf(LEFT), begun, now, Answer.SERVED),
                    history.copy().asked().stream()
                            .filter(
                                    each ->
                                            LEFT.contains(each.front())
                                                    && each.at() >= begun
                                                    && each.at() < now)
                            .count(),
                    "all was served meanwhile");
        }
    }
}
