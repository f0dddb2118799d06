// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.process.DirectoryCopy;
import com.eclipsesource.json.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

/**
 * Five processes of the program, three of them voters, and what is done to their links, processes
 * and folders. They are started once: each test begins with all of them in one group and ends with
 * them so. Clients ask all the time; the judge looks at the end of each.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class MembersTest {
    private static final List<Integer> VOTERS = List.of(1, 2, 3);
    private static final List<Integer> ALL = List.of(1, 2, 3, 4, 5);
    private static final long ASK_EVERY_MS = 20;
    private static final int STOPPED = 143; // the exit code after SIGTERM
    private static final long LONGER_THAN_ALL_MS =
            2_500; // than session, lease, election and missed heartbeats
    private static final long USUAL_NANOS =
            1_000_000_000L; // of an answer, on a machine with much else to do
    private final OperationHistory history = new OperationHistory();
    private ClusterFleet fleet;
    private long begun;

    @BeforeAll
    void start(@TempDir Path folder) throws Exception {
        fleet = new ClusterFleet(folder, ClusterFleet.Plan.of(5, 3), history, ASK_EVERY_MS);
        fleet.startAll();
        assertEquals(
                "[\"1.0\",\"2.0\",\"3.0\"]",
                fleet.signs(fleet.awaitLeader(VOTERS)).get("voters").toString());
    }

    @BeforeEach
    void begin() throws Exception {
        fleet.restore();
        fleet.awaitLeader(VOTERS);
        for (int each : ALL) {
            fleet.awaitSigns(each, "a session", signs -> signs.getBoolean("session_alive", false));
        }
        begun = System.nanoTime();
    }

    @AfterEach
    void nothingWasDoubled() throws Exception {
        Await.until(() -> fleet.resource.last() > begun, () -> "nobody acted under the lease");
        OperationHistoryChecker judge = new OperationHistoryChecker(history.copy());
        assertEquals(List.of(), judge.answeredTwice());
        assertEquals(List.of(), judge.ranTwice());
        assertEquals(List.of(), judge.doubleActs());
    }

    @AfterAll
    void end() throws Exception {
        try (ClusterFleet ending = fleet) {
            ending.load.settle();
            assertEquals(List.of(), new OperationHistoryChecker(history.copy()).lost());
        }
    }

    private static List<Integer> others(List<Integer> all, int one) {
        List<Integer> out = new ArrayList<>(all);
        out.remove((Integer) one);
        return out;
    }

    private static Set<Integer> others(int one) {
        return Set.copyOf(others(ALL, one));
    }

    /** What these front ends were asked since the test began was served, as soon as ever. */
    private void assertServedThroughout(Set<Integer> fronts) throws Exception {
        long now = System.nanoTime();
        OperationHistory.All complete = awaitComplete(fronts, now);
        OperationHistoryChecker judge = new OperationHistoryChecker(complete);
        List<Long> waits = judge.waits(fronts, begun, now);
        assertTrue(waits.size() > 10, waits.size() + " answers");
        assertTrue(
                OperationHistoryChecker.percentile(waits, 0.99) < USUAL_NANOS,
                "answers took "
                        + OperationHistoryChecker.percentile(waits, 0.99) / 1_000_000
                        + " ms");
        for (int front : fronts) {
            long silence = judge.longestSilence(front, begun, now);
            assertTrue(
                    silence < 2 * USUAL_NANOS,
                    "front end " + front + " was silent for " + silence / 1_000_000 + " ms");
        }
        assertEquals(1.0, judge.served(fronts, begun, now), 0.0, "share served");
    }

    /**
     * Waits until no request up to a time is open, and none can still be added: a request is
     * recorded after it was written, before the next one of its front end.
     *
     * @return the history as it was then
     */
    private OperationHistory.All awaitComplete(Set<Integer> fronts, long until) throws Exception {
        OperationHistory.All[] last = new OperationHistory.All[1];
        Await.until(
                () -> {
                    last[0] = history.copy();
                    return isAskedSince(last[0], fronts, until)
                            && new OperationHistoryChecker(last[0])
                                            .ended(fronts, begun, until, null)
                                    == 0;
                },
                () -> "some were not answered");
        return last[0];
    }

    private static boolean isAskedSince(OperationHistory.All all, Set<Integer> fronts, long since) {
        return fronts.stream()
                .allMatch(
                        front ->
                                all.asked().stream()
                                        .anyMatch(
                                                each ->
                                                        each.front() == front
                                                                && each.at() > since));
    }

    @Test
    void leaderCutOffFromItsVotersServesItsClients() throws Exception {
        int leader = fleet.awaitLeader(VOTERS);
        fleet.isolate(LinkFault.CUT, List.of(leader));
        int next = fleet.awaitLeader(others(VOTERS, leader));
        assertNotEquals(leader, next);
        fleet.awaitSigns(
                leader,
                "no quorum",
                signs ->
                        signs.getInt("no_quorum_ms", 0) > 0
                                && !signs.getBoolean("session_alive", true));
        Await.pass(LONGER_THAN_ALL_MS / 2);
        assertServedThroughout(Set.copyOf(ALL));
        fleet.heal();
        fleet.awaitSigns(
                leader,
                "the group",
                signs ->
                        signs.getInt("no_quorum_ms", 1) == 0
                                && signs.getBoolean("session_alive", false));
    }

    @Test
    void leaderWhoseLinksTakeAllAndNeverPassItOnIsReplaced() throws Exception {
        int leader = fleet.awaitLeader(VOTERS);
        fleet.set(LinkFault.MUTE, List.of(leader), ALL);
        assertNotEquals(leader, fleet.awaitLeader(others(VOTERS, leader)));
        assertServedThroughout(Set.copyOf(ALL));
    }

    @Test
    void stoppedLeaderGoesOnAsAFollower() throws Exception {
        int leader = fleet.awaitLeader(VOTERS);
        fleet.load.end(
                leader,
                false); // Its clients wait as long as it is stopped, with the cluster or without.
        fleet.proc(leader).signal("STOP");
        int next;
        try {
            next = fleet.awaitLeader(others(VOTERS, leader));
            Await.pass(LONGER_THAN_ALL_MS);
        } finally {
            fleet.proc(leader).signal("CONT");
        }
        fleet.resume(leader);
        fleet.awaitSigns(
                leader,
                "another leader",
                signs ->
                        !signs.getBoolean("leads", true)
                                && signs.getInt("leader", 0) == next
                                && signs.getBoolean("session_alive", false));
        assertServedThroughout(others(leader));
    }

    private static boolean votes(JsonObject signs) {
        return signs.getString("state", "").equals("voter")
                && signs.getBoolean("session_alive", false)
                && signs.getInt("no_quorum_ms", 1) == 0
                && signs.getInt("leader", 0) != 0;
    }

    @Test
    void killedLeaderIsFollowedByOneThatHasItsLogAndComesBackAsAVoter() throws Exception {
        int leader = fleet.awaitLeader(VOTERS);
        JsonObject before = fleet.signs(leader);
        long applied = before.getLong("applied", 0);
        fleet.kill(leader);
        int next = fleet.awaitLeader(others(VOTERS, leader));
        fleet.awaitSigns(
                next,
                "all that was applied",
                signs -> votes(signs) && signs.getLong("applied", 0) >= applied);
        fleet.start(leader);
        JsonObject back =
                fleet.awaitSigns(
                        leader,
                        "its vote",
                        signs -> votes(signs) && signs.getLong("applied", 0) > applied);
        assertEquals(incarnation(before) + 1, incarnation(back));
        assertServedThroughout(others(leader));
    }

    private static long incarnation(JsonObject signs) {
        return signs.get("disk").asObject().get("incarnation").asLong();
    }

    @Test
    void minorityServesOnAndAllVotersComeBack() throws Exception {
        long applied = fleet.signs(1).getLong("applied", 0);
        fleet.killAll(VOTERS);
        for (int each : List.of(4, 5)) {
            fleet.awaitSigns(
                    each,
                    "no quorum",
                    signs ->
                            signs.getInt("no_quorum_ms", 0) > 0
                                    && !signs.getBoolean("session_alive", true));
        }
        Await.pass(LONGER_THAN_ALL_MS / 2);
        fleet.launch(1);
        fleet.awaitServing(1);
        JsonObject alone =
                fleet.awaitSigns(
                        1,
                        "its peers' word",
                        signs -> signs.getString("state", "").equals("asking"));
        assertTrue(!alone.getBoolean("leads", true), alone.toString());
        assertServedThroughout(Set.of(4, 5));
        fleet.launch(2);
        fleet.launch(3);
        fleet.awaitServing(2);
        fleet.awaitServing(3);
        fleet.awaitLeader(VOTERS);
        fleet.awaitSigns(1, "all that was there", signs -> signs.getLong("applied", 0) > applied);
    }

    @Test
    void secondProcessOnAFolderEndsAndTheFirstGoesOn() throws Exception {
        ServerProcess second = fleet.proc(2, 12);
        assertNotEquals(0, second.awaitExit());
        second.awaitLine("folder-in-use");
        assertTrue(fleet.signs(2).getBoolean("session_alive", false));
        assertServedThroughout(Set.copyOf(ALL));
    }

    @Test
    void voterWithAnOlderFolderDoesNotVoteUntilItIsReplaced() throws Exception {
        int leader = fleet.awaitLeader(VOTERS);
        int voter = others(VOTERS, leader).get(0);
        Path older = fleet.data(voter).resolveSibling("older");
        fleet.proc(voter).signal("STOP");
        DirectoryCopy.copy(fleet.data(voter), older); // As it would be found after a crash.
        fleet.proc(voter).signal("CONT");
        awaitNewEntries(voter);
        fleet.kill(voter);
        DirectoryCopy.delete(fleet.data(voter));
        DirectoryCopy.copy(older, fleet.data(voter));
        fleet.start(voter);
        readmit(voter);
        assertServedThroughout(others(voter));
    }

    @Test
    void diskThatForgetsWhatItSaidItKeptDoesNotVoteUntilItIsReplaced() throws Exception {
        int leader = fleet.awaitLeader(VOTERS);
        int voter = others(VOTERS, leader).get(1);
        fleet.disk(voter, FaultInjectingDisks.Lie.FORGETS, 0);
        awaitNewEntries(voter);
        fleet.kill(voter);
        fleet.disk(voter, FaultInjectingDisks.Lie.HONEST, 0);
        fleet.start(voter);
        readmit(voter);
        assertServedThroughout(others(voter));
    }

    /**
     * Waits until the voter has applied entries that it had not even stored at the call. The status
     * read first may be older than the call; one that differs from it is not.
     */
    private void awaitNewEntries(int voter) throws Exception {
        long before = lastIndex(fleet.signs(voter));
        long stored =
                lastIndex(
                        fleet.awaitSigns(
                                voter, "a later status", signs -> lastIndex(signs) > before));
        fleet.awaitSigns(
                voter, "more of the log", signs -> signs.getLong("applied", 0) > stored + 3);
    }

    private static long lastIndex(JsonObject signs) {
        return signs.get("disk").asObject().getLong("last_index", 0);
    }

    /**
     * Barred, it is in its session, and comes back as the operators' page says for a member whose
     * folder forgot.
     */
    private void readmit(int voter) throws Exception {
        JsonObject barred =
                fleet.awaitSigns(
                        voter,
                        "that it forgot",
                        signs ->
                                signs.getString("state", "").equals("barred")
                                        && signs.getBoolean("session_alive", false));
        assertTrue(
                !barred.getString("why", "").isEmpty()
                        && barred.get("disk").asObject().getBoolean("barred", false),
                barred.toString());
        int before = barred.getInt("generation", 0);
        assertEquals(STOPPED, fleet.stop(voter));
        fleet.generation(voter, before + 1);
        fleet.start(voter);
        JsonObject spare =
                fleet.awaitSigns(
                        voter, "a session", signs -> signs.getBoolean("session_alive", false));
        assertEquals("spare", spare.getString("state", ""), spare.toString());
        String old = voter + "." + before;
        String next = voter + "." + (before + 1);
        Await.until(
                () -> isDone(others(VOTERS, voter), old, next),
                () -> old + " was not replaced by " + next);
        fleet.awaitSigns(
                voter, "to vote again", signs -> signs.getString("state", "").equals("voter"));
    }

    /** A wish ends with its leader, and what is left of it is said to the next one. */
    private boolean isDone(List<Integer> voters, String old, String next) throws Exception {
        int leader = fleet.awaitLeader(voters);
        JsonObject signs = fleet.signs(leader);
        String present = signs.get("voters").toString();
        if (!present.contains(old) && present.contains(next)) {
            return true;
        }
        if (!signs.getString("wish", "").contains("under way")) {
            fleet.tell(
                    leader,
                    present.contains(next)
                            ? "voters/" + old + "/remove"
                            : "voters/" + old + "/replace/" + next);
        }
        return false;
    }

    @Test
    void fullAndReadOnlyDisksAreNamedAndCostTheirVotersUntilARestart() throws Exception {
        int full = fleet.awaitLeader(VOTERS);
        awaitFailed(full, FaultInjectingDisks.Lie.FULL, "full");
        fleet.awaitSigns(
                full,
                "its session by the others",
                signs ->
                        signs.getBoolean("session_alive", false)
                                && !signs.getBoolean("leads", true));
        int leader = fleet.awaitLeader(others(VOTERS, full));
        int readOnly = others(others(VOTERS, full), leader).get(0);
        assertTrue(fleet.isReady(full));
        awaitFailed(readOnly, FaultInjectingDisks.Lie.READ_ONLY, "read_only");
        fleet.awaitSigns(leader, "no quorum", signs -> signs.getInt("no_quorum_ms", 0) > 0);
        fleet.awaitSigns(
                full,
                "no quorum",
                signs ->
                        signs.getInt("no_quorum_ms", 0) > 0
                                && !signs.getBoolean("session_alive", true));
        assertServedThroughout(Set.copyOf(ALL));
        assertTrue(fleet.isReady(full));
        assertTrue(fleet.tell(full, "voters/4.0/add").contains("cluster-not-leader"));
        fleet.proc(full).awaitLine("no quorum for ");
        List<Integer> failed = List.of(full, readOnly);
        for (int voter : failed) {
            assertEquals(STOPPED, fleet.stop(voter));
            fleet.disk(voter, FaultInjectingDisks.Lie.HONEST, 0);
            fleet.launch(voter);
        }
        for (int voter : failed) {
            fleet.awaitServing(voter);
            fleet.awaitSigns(
                    voter,
                    "to vote again",
                    signs ->
                            signs.getString("state", "").equals("voter")
                                    && signs.getInt("leader", 0) > 0);
        }
    }

    private void awaitFailed(int voter, FaultInjectingDisks.Lie lie, String named)
            throws Exception {
        fleet.disk(voter, lie, 0);
        String code = "disk-" + named.replace('_', '-');
        JsonObject signs =
                fleet.awaitSigns(
                        voter,
                        code,
                        each ->
                                each.getString("state", "").equals("failed")
                                        && each.get("disk")
                                                .asObject()
                                                .getString("trouble", "")
                                                .contains(code));
        assertTrue(signs.getString("why", "").startsWith(code + ": "), signs.toString());
        assertEquals(named, signs.get("disk").asObject().getString("state", ""));
    }

    @Test
    void leaderOnASlowDiskLosesTheLeadAndServesOn() throws Exception {
        int leader = fleet.awaitLeader(VOTERS);
        fleet.disk(leader, FaultInjectingDisks.Lie.SLOW, 1_500);
        try {
            assertNotEquals(leader, fleet.awaitLeader(others(VOTERS, leader)));
            fleet.awaitSigns(
                    leader,
                    "that it is slow",
                    signs -> signs.get("disk").asObject().getInt("slow_syncs", 0) > 0);
        } finally {
            fleet.disk(leader, FaultInjectingDisks.Lie.HONEST, 0);
        }
        assertServedThroughout(Set.copyOf(ALL));
        fleet.awaitSigns(
                leader,
                "another leader",
                signs -> signs.getInt("leader", 0) > 0 && signs.getBoolean("session_alive", false));
    }
}
