// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Snapshots of every version can be read, and the last version is the one written. */
class SnapshotFormatTest {
    private static final Path GOLDEN = Path.of("src/test/resources/cluster");

    private static final class TextStateMachine implements StateMachine {
        private String text = "";

        @Override
        public CommandEffects apply(long index, Command command) {
            text += new String(command.body());
            return CommandEffects.response(text.getBytes());
        }

        @Override
        public byte[] snapshot() {
            return text.getBytes();
        }

        @Override
        public void restore(byte[] snapshot) {
            text = new String(snapshot);
        }
    }

    private static ReplicatedState stateToWrite() {
        ReplicatedState state = new ReplicatedState(Map.of("text", new TextStateMachine()));
        state.apply(1, new ReplicatedEntry.EpochStart(2, 77).encode());
        state.apply(3, new ReplicatedEntry.OpenSession(1, 5, 1500).encode());
        state.apply(4, new ReplicatedEntry.RunCommand(3, 1, 0, "text", "a".getBytes()).encode());
        state.apply(6, new ReplicatedEntry.OpenSession(4, 9, 2000).encode());
        state.apply(7, new ReplicatedEntry.RunCommand(3, 2, 1, "text", "b".getBytes()).encode());
        state.apply(8, new ReplicatedEntry.KeepAlive(6).encode());
        state.apply(9, new ReplicatedEntry.AddVoter(4, 2).encode());
        state.apply(10, new ReplicatedEntry.RemoveVoter(3, 0).encode());
        return state;
    }

    /** Writes the golden file of the current version; earlier ones are never changed. */
    public static void main(String[] args) throws Exception {
        Files.write(GOLDEN.resolve("replicated-v2.snapshot"), stateToWrite().snapshot());
    }

    private static ReplicatedState read(String name) throws Exception {
        ReplicatedState state = new ReplicatedState(Map.of("text", new TextStateMachine()));
        state.restore(Files.readAllBytes(GOLDEN.resolve(name)));
        assertEquals(1, state.epoch());
        assertEquals(new ReplicatedEntry.EpochStart(2, 77), state.epochStart());
        assertTrue(state.isAlive(3) && state.isAlive(6));
        assertEquals(
                "ab",
                new String(
                        state.apply(
                                        11,
                                        new ReplicatedEntry.RunCommand(
                                                        3, 2, 1, "text", "b".getBytes())
                                                .encode())
                                .response()),
                "a retry");
        return state;
    }

    @Test
    void firstVersionIsReadWithoutVoterGenerations() throws Exception {
        assertTrue(read("replicated-v1.snapshot").mayAddVoter(3, 0));
    }

    @Test
    void currentVersionIsWritten() throws Exception {
        ReplicatedState state = read("replicated-v2.snapshot");
        assertFalse(state.mayAddVoter(3, 0) || state.mayAddVoter(4, 1));
        assertArrayEquals(
                Files.readAllBytes(GOLDEN.resolve("replicated-v2.snapshot")),
                stateToWrite().snapshot());
    }
}
