// SPDX-License-Identifier: Apache-2.0
package calicostream.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HotRestartTest {
    private static final String STATE =
            "{\"version\":1,\"generation\":0,\"listening\":true,\"seq\":9,"
                    + "\"engines\":{\"e1\":{\"at\":1,\"out\":false}}}";
    @TempDir Path folder;
    private final List<String> heard = new ArrayList<>();

    private HotRestart joined(String who) {
        HotRestart handover =
                new HotRestart(
                        folder,
                        "n1",
                        (engine, word) ->
                                heard.add(
                                        who + " " + engine + (word.disabled() ? " out" : " back")));
        handover.join();
        return handover;
    }

    @Test
    void theLaterWordHoldsInBothWhoeverWasTold() {
        HotRestart elder = joined("elder");
        elder.publishEngineOverride("e1", true);
        HotRestart younger = joined("younger");
        assertEquals(List.of("younger e1 out"), heard);
        assertTrue(younger.hasPredecessor());
        elder.poll();
        assertFalse(elder.hasSuccessor(), "it does not listen yet");
        elder.publishLearnedRunTimes(new double[] {40_000, 0, -1, 1e300});
        younger.poll();
        assertArrayEquals(new double[] {40_000, 0, 0, 0}, younger.predecessorRunTimes());
        younger.publishListening(true);
        younger.publishEngineOverride("e1", false);
        elder.poll();
        assertTrue(elder.hasSuccessor());
        assertEquals(2, elder.processCount());
        assertEquals(List.of("younger e1 out", "elder e1 back"), heard);
        younger.poll();
        elder.poll();
        assertEquals(2, heard.size(), "old words are heard once");
        younger.leave();
        elder.poll();
        assertFalse(elder.hasSuccessor());
    }

    /** A slot that nobody holds is what a killed process leaves. */
    @Test
    void whatTheDeadLeftIsNotReadAndClearedAway() throws IOException {
        Path path = folder.resolve("calicostream-n1.handover");
        byte[] left;
        try (ProcessSlotFile free = new ProcessSlotFile(path);
                ProcessSlotFile dead = new ProcessSlotFile(path)) {
            dead.write(STATE.getBytes(StandardCharsets.UTF_8));
            assertEquals(
                    1,
                    free.readOthers(new long[ProcessSlotFile.SLOT_COUNT]).size(),
                    "while it lives");
            left = Files.readAllBytes(path);
        }
        Files.write(path, left);
        HotRestart first = joined("first");
        assertFalse(first.hasSuccessor() || first.hasPredecessor());
        assertEquals(List.of(), heard);
        assertEquals(1, first.processCount());
        assertEquals(0, Files.readAllBytes(path)[64], "the head of the dead slot");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{\"version\":2,\"generation\":9,\"listening\":true,\"engines\":{}}",
                "{\"version\":1,\"generation\":9,\"listening\":true}",
                "{\"version\":1,\"generation\":9,\"listening\":true,\"engines\":{\"e1\":7}}",
                "{\"version\":1,\"generation\":\"x\",\"listening\":true,\"engines\":{}}"
            })
    void aStateThatCannotBeReadIsNotUsed(String text) throws IOException {
        try (ProcessSlotFile odd =
                new ProcessSlotFile(folder.resolve("calicostream-n1.handover"))) {
            odd.write(text.getBytes(StandardCharsets.UTF_8));
            HotRestart handover = joined("new");
            assertFalse(handover.hasSuccessor());
            assertEquals(1, handover.processCount());
            assertEquals(List.of(), heard);
        }
    }

    /**
     * It was half written, or written over while it was read: what was known of that process stays.
     */
    @Test
    void aHalfWrittenStateChangesNothing() throws IOException {
        Path path = folder.resolve("calicostream-n1.handover");
        try (ProcessSlotFile elder = new ProcessSlotFile(path)) {
            elder.write(STATE.getBytes(StandardCharsets.UTF_8));
            HotRestart younger = joined("younger");
            assertEquals(9, younger.newestPeerEventSequence());
            elder.write(STATE.replace("\"seq\":9", "\"seq\":12").getBytes(StandardCharsets.UTF_8));
            damage(path, "\"seq\":12");
            younger.poll();
            assertTrue(younger.hasPredecessor());
            assertEquals(9, younger.newestPeerEventSequence());
            elder.write(STATE.replace("\"seq\":9", "\"seq\":14").getBytes(StandardCharsets.UTF_8));
            younger.poll();
            assertEquals(14, younger.newestPeerEventSequence());
        }
    }

    private static void damage(Path path, String what) throws IOException {
        int at = new String(Files.readAllBytes(path), StandardCharsets.ISO_8859_1).indexOf(what);
        assertTrue(at > 0);
        try (FileChannel file = FileChannel.open(path, StandardOpenOption.WRITE)) {
            file.write(ByteBuffer.wrap(new byte[] {'!'}), at);
        }
    }

    /** One that finds no slot, or no folder, serves by itself. */
    @Test
    void withoutASlotThereIsNoHandOverAndNoFailure() throws IOException {
        Path path = folder.resolve("calicostream-n1.handover");
        List<ProcessSlotFile> held = new ArrayList<>();
        for (int i = 0; i < ProcessSlotFile.SLOT_COUNT; i++) {
            held.add(new ProcessSlotFile(path));
        }
        assertThrows(IOException.class, () -> new ProcessSlotFile(path));
        HotRestart fifth = joined("fifth");
        fifth.publishEngineOverride("e1", true);
        fifth.publishListening(true);
        fifth.poll();
        assertEquals(1, fifth.processCount());
        fifth.leave();
        held.get(2).close();
        assertEquals(2, new ProcessSlotFile(path).ownSlot());
        HotRestart nowhere =
                new HotRestart(
                        folder.resolve("missing"), "n1", (engine, word) -> heard.add(engine));
        nowhere.join();
        nowhere.poll();
        assertFalse(nowhere.hasPredecessor());
        assertEquals(List.of(), heard);
    }

    /** A process that takes the slot of one that died between two looks is not taken for it. */
    @Test
    void aSlotTakenAnewIsReadAnew() {
        HotRestart watching = joined("watching");
        HotRestart first = joined("first");
        first.publishListening(true);
        watching.poll();
        assertTrue(watching.hasSuccessor());
        first.leave();
        HotRestart second = joined("second");
        watching.poll();
        assertFalse(watching.hasSuccessor(), "the second does not listen yet");
        assertEquals(2, watching.processCount());
        second.leave();
    }
}
