// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HandoverTest {
    @TempDir
    Path folder;
    private final List<String> heard = new ArrayList<>();

    private Handover joined(String who) {
        Handover handover = new Handover(folder, "n1", (engine, word) ->
                heard.add(who + " " + engine + (word.out() ? " out" : " back")));
        handover.join();
        return handover;
    }

    @Test
    void theLaterWordHoldsInBothWhoeverWasTold() {
        Handover elder = joined("elder");
        elder.say("e1", true);
        Handover younger = joined("younger");
        assertEquals(List.of("younger e1 out"), heard);
        assertTrue(younger.hasElder());
        elder.look();
        assertFalse(elder.hasSuccessor(), "it does not listen yet");
        elder.learned(new double[] {40_000, 0, -1, 1e300});
        younger.look();
        assertArrayEquals(new double[] {40_000, 0, 0, 0}, younger.before());
        younger.listens(true);
        younger.say("e1", false);
        elder.look();
        assertTrue(elder.hasSuccessor());
        assertEquals(2, elder.processes());
        assertEquals(List.of("younger e1 out", "elder e1 back"), heard);
        younger.look();
        elder.look();
        assertEquals(2, heard.size(), "old words are heard once");
        younger.leave();
        elder.look();
        assertFalse(elder.hasSuccessor());
    }

    /** A lock file that nobody holds is what a killed process leaves. */
    @Test
    void whatTheDeadLeftIsNotReadAndClearedAway() throws IOException {
        Path lock = Files.createFile(folder.resolve("calicostream-n1-dead.lock"));
        Path state = Files.writeString(folder.resolve("calicostream-n1-dead.state"), "{\"version\":1,"
                + "\"generation\":9,\"listening\":true,\"seq\":1,\"engines\":{\"e1\":{\"at\":1,\"out\":true}}}");
        Handover handover = joined("new");
        assertFalse(handover.hasSuccessor());
        assertFalse(handover.hasElder());
        assertEquals(List.of(), heard);
        assertFalse(Files.exists(lock) || Files.exists(state));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "{\"version\":2,\"generation\":9,\"listening\":true,\"engines\":{}}",
        "{\"version\":1,\"generation\":9,\"listening\":true}",
        "{\"version\":1,\"generation\":9,\"listening\":true,\"engines\":{\"e1\":7}}",
        "{\"version\":1,\"generation\":\"x\",\"listening\":true,\"engines\":{}}"})
    void aStateThatCannotBeReadIsNotUsed(String text) throws IOException {
        Path lock = Files.createFile(folder.resolve("calicostream-n1-odd.lock"));
        try (FileChannel held = FileChannel.open(lock, StandardOpenOption.WRITE)) {
            held.lock();
            Files.writeString(folder.resolve("calicostream-n1-odd.state"), text);
            Handover handover = joined("new");
            assertFalse(handover.hasSuccessor());
            assertEquals(1, handover.processes());
            assertEquals(List.of(), heard);
        }
    }
}
