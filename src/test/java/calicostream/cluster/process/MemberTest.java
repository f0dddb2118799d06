// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static calicostream.cluster.process.InProcessMembers.metric;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Members with threads, sockets and folders in one process and without a front end, for what
 * separate processes do not show.
 */
class MemberTest {
    @Test
    void plannedStopAnswersCommandsTransfersLeadershipAndClosesSession(@TempDir Path folder)
            throws Exception {
        try (InProcessMembers members = new InProcessMembers(folder)) {
            members.startAll();
            int leader = members.status(1).get("leader").asInt();
            members.services.values().forEach(each -> each.isAdding = true);
            JsonObject before =
                    members.await(
                            leader,
                            status ->
                                    metric(status, "answered") > 3 && metric(status, "heard") > 3);
            members.stop(leader);
            JsonObject last = members.status(leader);
            assertEquals("down", last.get("state").asString());
            assertEquals("", last.get("why").asString());
            assertEquals(0, last.get("session").asLong());
            assertTrue(metric(last, "stopped_at") >= metric(before, "answered"), last.toString());
            int other = 1 + leader % 3;
            long answered = metric(members.status(other), "answered");
            JsonObject after =
                    members.await(
                            other,
                            status ->
                                    metric(status, "answered") > answered
                                            && InProcessMembers.isSettledVoter(status));
            assertTrue(
                    after.get("leader").asInt() != leader
                            && after.get("term").asInt() > before.get("term").asInt());
            members.start(leader);
            assertEquals(
                    2,
                    members.await(leader, InProcessMembers::isSettledVoter)
                            .get("disk")
                            .asObject()
                            .get("incarnation")
                            .asInt());
        }
    }

    /** Markers beside the log are as old as it, or lost with it: then the peers know better. */
    @Test
    void peersDetectAFolderThatLostState(@TempDir Path folder) throws Exception {
        try (InProcessMembers members = new InProcessMembers(folder)) {
            members.startAll();
            members.stop(3);
            Path old = folder.resolve("old");
            DirectoryCopy.copy(members.data(3), old);
            members.start(3);
            members.await(3, InProcessMembers::isSettledVoter);
            members.services.get(3).isAdding = true;
            members.await(3, status -> metric(status, "answered") > 3);
            members.stop(3);
            Files.move(members.data(3), folder.resolve("newer"));
            DirectoryCopy.copy(old, members.data(3));
            members.start(3);
            JsonObject older =
                    members.await(3, each -> each.get("state").asString().equals("barred"));
            assertTrue(
                    older.get("why").asString().startsWith("cluster-voter-forgot: "),
                    older.toString());
            members.stop(3);
            Files.move(members.data(3), folder.resolve("older"));
            members.start(3);
            JsonObject lost =
                    members.await(
                            3,
                            each ->
                                    each.get("state").asString().equals("barred")
                                            && each.get("session_alive").asBoolean());
            assertTrue(
                    lost.get("why").asString().startsWith("cluster-voter-forgot: "),
                    lost.toString());
            for (int number = 1; number <= 2; number++) {
                members.await(number, InProcessMembers::isSettledVoter);
            }
        }
    }
}
