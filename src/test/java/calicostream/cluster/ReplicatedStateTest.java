// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The replicated state, entry by entry. */
class ReplicatedStateTest {
    private static final long SEED = 25;

    /** Records its calls as its state, and publishes an event for each command. */
    private static final class RecordingStateMachine implements StateMachine {
        private final List<String> calls = new ArrayList<>();

        @Override
        public CommandEffects apply(long index, Command command) {
            calls.add(new String(command.body()));
            return command.body().length == 0
                    ? CommandEffects.rejected("heard-nothing", new byte[] {1})
                    : CommandEffects.response(
                            command.body(), new CommandEffects.Event("heard", command.body()));
        }

        @Override
        public CommandEffects sessionEnded(long index, long session) {
            calls.add("ended " + session);
            return CommandEffects.NONE;
        }

        @Override
        public byte[] snapshot() {
            BinaryCodec.Writer out = new BinaryCodec.Writer().i32(calls.size());
            calls.forEach(out::text);
            return out.toByteArray();
        }

        @Override
        public void restore(byte[] snapshot) {
            BinaryCodec.Reader in = new BinaryCodec.Reader("heard", snapshot);
            List<String> read = new ArrayList<>();
            for (int left = in.count(4); left > 0; left--) {
                read.add(in.text(100));
            }
            calls.clear();
            calls.addAll(read);
        }
    }

    private final RecordingStateMachine machine = new RecordingStateMachine();
    private final ReplicatedState state = new ReplicatedState(Map.of("heard", machine));
    private long index;

    private CommandOutcome apply(ReplicatedEntry entry) {
        return state.apply(++index, entry.encode());
    }

    private CommandOutcome run(
            long session, long sequence, long acknowledgedSequence, String body) {
        return apply(
                new ReplicatedEntry.RunCommand(
                        session, sequence, acknowledgedSequence, "heard", body.getBytes()));
    }

    private long open() {
        return new BinaryCodec.Reader(
                        "session", apply(new ReplicatedEntry.OpenSession(7, 1, 1000)).response())
                .i64();
    }

    @Test
    void commandIsAppliedOnceAndItsOutcomeKeptUntilAcknowledged() {
        long session = open();
        CommandOutcome first = run(session, 1, 0, "a");
        assertSame(CommandOutcome.Kind.ACCEPTED, first.kind());
        assertEquals(first.index(), run(session, 1, 0, "a").index());
        assertEquals("heard-nothing", run(session, 2, 0, "").code());
        assertEquals("heard-nothing", run(session, 2, 1, "").code());
        assertEquals(List.of("a", ""), machine.calls);
        assertInstanceOf(
                ClusterException.SequenceOutOfOrder.class, run(session, 1, 0, "a").error());
        assertInstanceOf(
                ClusterException.SequenceOutOfOrder.class, run(session, 4, 2, "d").error());
        assertInstanceOf(
                ClusterException.SequenceOutOfOrder.class, run(session, 3, 3, "c").error());
        for (int sequence = 3; sequence < 3 + SessionTable.MAX_KEPT_OUTCOMES - 1; sequence++) {
            assertTrue(run(session, sequence, 1, "x").isAccepted());
        }
        assertInstanceOf(
                ClusterException.TooManyUnacknowledged.class,
                run(session, 2 + SessionTable.MAX_KEPT_OUTCOMES, 1, "x").error());
        assertTrue(run(session, 2 + SessionTable.MAX_KEPT_OUTCOMES, 2, "x").isAccepted());
    }

    @Test
    void removedGenerationIsNeverAddedAgain() {
        assertTrue(apply(new ReplicatedEntry.AddVoter(4, 0)).isAccepted());
        assertTrue(apply(new ReplicatedEntry.AddVoter(4, 0)).isAccepted(), "a retry");
        assertTrue(apply(new ReplicatedEntry.RemoveVoter(4, 0)).isAccepted());
        assertInstanceOf(
                ClusterException.GenerationRetired.class,
                apply(new ReplicatedEntry.AddVoter(4, 0)).error());
        assertEquals(1, state.nextGeneration(4));
        assertTrue(apply(new ReplicatedEntry.AddVoter(4, 3)).isAccepted());
        assertInstanceOf(
                ClusterException.GenerationRetired.class,
                apply(new ReplicatedEntry.AddVoter(4, 2)).error(),
                "older than one that was added");
        assertTrue(
                apply(new ReplicatedEntry.RemoveVoter(5, 0)).isAccepted(),
                "one of the first voters, which nobody added");
        ReplicatedState copy = new ReplicatedState(Map.of("heard", new RecordingStateMachine()));
        copy.restore(state.snapshot());
        assertArrayEquals(state.snapshot(), copy.snapshot());
        assertFalse(copy.mayAddVoter(5, 0) || copy.mayAddVoter(4, 0));
        assertTrue(copy.mayAddVoter(5, 1) && copy.mayAddVoter(4, 3) && copy.mayAddVoter(6, 0));
        assertEquals(4, copy.nextGeneration(4));
    }

    @Test
    void sameNonceOpensTheSameSession() {
        long session = open();
        assertEquals(session, open());
        assertTrue(apply(new ReplicatedEntry.CloseSession(session)).isAccepted());
        assertFalse(state.isAlive(session));
        assertTrue(open() > session);
        for (int nonce = 2; nonce <= SessionTable.MAX_SESSIONS_PER_MEMBER; nonce++) {
            assertTrue(apply(new ReplicatedEntry.OpenSession(7, nonce, 1000)).isAccepted());
        }
        assertInstanceOf(
                ClusterException.TooManySessions.class,
                apply(new ReplicatedEntry.OpenSession(7, 99, 1000)).error());
        assertInstanceOf(
                ClusterException.InvalidSessionTtl.class,
                apply(new ReplicatedEntry.OpenSession(8, 1, 0)).error());
    }

    @Test
    void expiryIsValidOnlyInItsEpochAndForTheLastRenewal() {
        apply(new ReplicatedEntry.EpochStart(1, 11));
        long session = open();
        long epoch = state.epoch();
        assertTrue(apply(new ReplicatedEntry.KeepAlive(session)).isAccepted());
        apply(new ReplicatedEntry.ExpireSession(epoch, session, session));
        assertTrue(state.isAlive(session), "renewed since");
        long renewedIndex = index - 1;
        apply(new ReplicatedEntry.EpochStart(2, 12));
        apply(new ReplicatedEntry.ExpireSession(epoch, session, renewedIndex));
        assertTrue(state.isAlive(session), "measured by a former leader");
        assertEquals(
                ClusterException.StaleEpoch.CODE,
                apply(new ReplicatedEntry.LeaderCommand(epoch, "heard", new byte[1])).code());
        apply(new ReplicatedEntry.ExpireSession(state.epoch(), session, renewedIndex));
        assertFalse(state.isAlive(session));
        assertInstanceOf(ClusterException.SessionEnded.class, run(session, 1, 0, "late").error());
        assertInstanceOf(
                ClusterException.SessionEnded.class,
                apply(new ReplicatedEntry.KeepAlive(session)).error());
        assertEquals(List.of("ended " + session), machine.calls);
        assertEquals("session-expired", state.drainStateChanges().get(0).event().kind());
    }

    @Test
    void expiryMonitorMeasuresFromTheLastRenewalWithoutItsOwnPauses() {
        apply(new ReplicatedEntry.EpochStart(1, 11));
        long session = open();
        SessionExpiryMonitor monitor = new SessionExpiryMonitor(state, 50_000_000);
        long now = -100;
        for (long end = now + 800_000_000; now < end; now += 50_000_000) {
            assertEquals(List.of(), monitor.expiredSessions(now));
        }
        // Paused for a minute, in which no renewal could be received.
        now += 60_000_000_000L;
        assertEquals(List.of(), monitor.expiredSessions(now));
        now += 90_000_000;
        assertEquals(List.of(), monitor.expiredSessions(now));
        now += 90_000_000;
        ReplicatedEntry.ExpireSession expire = monitor.expiredSessions(now).get(0);
        assertEquals(new ReplicatedEntry.ExpireSession(state.epoch(), session, session), expire);
        apply(new ReplicatedEntry.KeepAlive(session));
        assertEquals(List.of(), monitor.expiredSessions(now));
        apply(new ReplicatedEntry.EpochStart(2, 12));
        assertEquals(List.of(), monitor.expiredSessions(now + 1_100_000_000L));
    }

    @Test
    void snapshotIsTheCompleteState() {
        Random random = new Random(SEED);
        long session = open();
        ReplicatedState copy = new ReplicatedState(Map.of("heard", new RecordingStateMachine()));
        for (int i = 1; i < 200; i++) {
            if (random.nextInt(20) == 0) {
                copy.restore(state.snapshot());
            }
            byte[] entry =
                    (switch (random.nextInt(4)) {
                                case 0 ->
                                        new ReplicatedEntry.OpenSession(
                                                random.nextInt(3), random.nextInt(5), 1000);
                                case 1 -> new ReplicatedEntry.KeepAlive(random.nextInt(20));
                                case 2 -> new ReplicatedEntry.CloseSession(2 + random.nextInt(100));
                                default ->
                                        new ReplicatedEntry.RunCommand(
                                                session,
                                                i,
                                                Math.max(0, i - 5),
                                                "heard",
                                                new byte[] {65});
                            })
                            .encode();
            index++;
            if (copy.appliedIndex() < index - 1) {
                copy.restore(state.snapshot());
            }
            assertEquals(state.apply(index, entry).kind(), copy.apply(index, entry).kind());
            assertArrayEquals(state.snapshot(), copy.snapshot(), "seed " + SEED);
        }
    }

    @Test
    void corruptedBytesAreReportedAsMalformed() {
        Random random = new Random(SEED);
        long session = open();
        run(session, 1, 0, "a");
        List<byte[]> right =
                List.of(
                        state.snapshot(),
                        new ReplicatedEntry.RunCommand(session, 2, 1, "heard", new byte[9])
                                .encode(),
                        new MemberMessage.Request(
                                        5, MemberMessage.Operation.READ, "heard", new byte[3])
                                .encode(),
                        new MemberMessage.Reply(
                                        5,
                                        0,
                                        CommandOutcome.failed(
                                                3, ClusterException.QueueFull.CODE, 1, 2, 3))
                                .encode(),
                        new MemberMessage.Notification(
                                        "heard",
                                        3,
                                        new CommandEffects.Event("heard", new byte[3], 2))
                                .encode());
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = right.get(i % right.size()).clone();
            if (random.nextBoolean()) {
                bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 5));
            }
            for (int flips = random.nextInt(3); flips > 0 && bytes.length > 0; flips--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            byte[] wrong = bytes;
            try {
                switch (i % right.size()) {
                    case 0 ->
                            new ReplicatedState(Map.of("heard", new RecordingStateMachine()))
                                    .restore(wrong);
                    case 1 -> ReplicatedEntry.decode(wrong);
                    default -> MemberMessage.decode(wrong);
                }
            } catch (ClusterException.Malformed | ClusterException.UnknownStateMachine e) {
                assertFalse(e.remedy().isEmpty());
            }
        }
    }

    @Test
    void entryForAnUnknownStateMachineThrows() {
        long session = open();
        assertThrows(
                ClusterException.UnknownStateMachine.class,
                () -> apply(new ReplicatedEntry.RunCommand(session, 1, 0, "absent", new byte[0])));
        assertThrows(ClusterException.Malformed.class, () -> state.apply(++index, new byte[] {9}));
    }
}
