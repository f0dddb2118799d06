// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.ClusterException;
import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The rules of {@link LeaseStateMachine}. {@link RandomLeaseRunTest} and {@link LeaseProofsTest}
 * check them in randomized runs and models.
 */
class LeaseStateMachineTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final String TASK = "arbiter";
    private final LeaseStateMachine machine = new LeaseStateMachine();
    private long index;

    private CommandEffects apply(long session, LeaseCommand command) {
        return machine.apply(++index, new Command(session, index, 0, command.encode()));
    }

    private LeaseAnswer applyAccepted(long session, LeaseCommand command) {
        CommandEffects effects = apply(session, command);
        assertTrue(effects.isAccepted(), () -> rejection(effects).facts());
        return LeaseAnswer.decode(effects.response());
    }

    private static LeaseRejection rejection(CommandEffects effects) {
        assertFalse(effects.isAccepted());
        return LeaseRejection.decode(effects.rejectionCode(), effects.response());
    }

    private LeaseAnswer acquire(long session) {
        return applyAccepted(session, new LeaseCommand.Acquire(TASK, 2 * NANOS_PER_SECOND, true));
    }

    private static List<LeaseEvent> events(CommandEffects effects) {
        return effects.events().stream().map(LeaseEvent::decode).toList();
    }

    @Test
    void queueIsFirstComeFirstServed() {
        assertEquals(new LeaseAnswer.Held(1), acquire(7));
        assertEquals(new LeaseAnswer.Queued(1), acquire(8));
        assertEquals(new LeaseAnswer.Queued(2), acquire(9));
        assertEquals(
                new LeaseRejection.AlreadyQueued(TASK, 2),
                rejection(apply(9, new LeaseCommand.Acquire(TASK, NANOS_PER_SECOND, true))));
        assertEquals(
                new LeaseRejection.AlreadyHeld(TASK, 1),
                rejection(apply(7, new LeaseCommand.Acquire(TASK, NANOS_PER_SECOND, true))));
        assertEquals(
                new LeaseRejection.HeldByOther(TASK, 1),
                rejection(apply(3, new LeaseCommand.Acquire(TASK, NANOS_PER_SECOND, false))));
        assertEquals(
                List.of(
                        new LeaseEvent.Ended(TASK, 1, LeaseEvent.EndReason.RELEASED),
                        new LeaseEvent.Granted(TASK, 2, 8)),
                events(apply(7, new LeaseCommand.Release(TASK, 1))));
        acquire(7);
        applyAccepted(8, new LeaseCommand.Release(TASK, 2));
        assertTrue(
                machine.isHolder(TASK, 3) && machine.heldLeases().get(0).session() == 9,
                "a former holder queues at the end");
    }

    @Test
    void onlyTheTokenOfTheHolderIsAccepted() {
        acquire(7);
        acquire(8);
        applyAccepted(7, new LeaseCommand.Release(TASK, 1));
        for (LeaseCommand command :
                List.of(
                        new LeaseCommand.Renew(TASK, 1),
                        new LeaseCommand.Release(TASK, 1),
                        new LeaseCommand.Transfer(TASK, 1, 0),
                        new LeaseCommand.FencedAction(TASK, 1, new byte[3]))) {
            assertEquals(new LeaseRejection.NotHolder(TASK, 1, 2), rejection(apply(7, command)));
        }
        assertEquals(
                new LeaseRejection.NotHolder(TASK, 2, 2),
                rejection(apply(7, new LeaseCommand.Renew(TASK, 2))),
                "the token of another session must be rejected");
        byte[] payload = {5, 6};
        LeaseEvent.ActionPerformed performed =
                (LeaseEvent.ActionPerformed)
                        events(apply(8, new LeaseCommand.FencedAction(TASK, 2, payload))).get(0);
        assertArrayEquals(payload, performed.payload());
    }

    @Test
    void expiryOfRenewedGrantIsRejected() {
        acquire(7);
        applyAccepted(7, new LeaseCommand.Renew(TASK, 1));
        assertEquals(
                new LeaseRejection.RenewedConcurrently(TASK, 1, 1),
                rejection(apply(0, new LeaseCommand.Expire(TASK, 1, 0))));
        assertInstanceOf(
                LeaseRejection.SenderNotPermitted.class,
                rejection(apply(8, new LeaseCommand.Expire(TASK, 1, 1))));
        assertInstanceOf(
                LeaseRejection.SenderNotPermitted.class,
                rejection(apply(0, new LeaseCommand.Acquire(TASK, NANOS_PER_SECOND, true))));
        applyAccepted(0, new LeaseCommand.Expire(TASK, 1, 1));
        assertEquals(List.of(), machine.heldLeases());
        assertEquals(
                new LeaseAnswer.Held(2),
                acquire(7),
                "the token of a removed lease must not be granted again");
    }

    @Test
    void endedSessionLeavesQueuesButKeepsGrants() {
        acquire(7);
        acquire(8);
        acquire(9);
        machine.sessionEnded(++index, 8);
        machine.sessionEnded(++index, 7);
        assertTrue(machine.isHolder(TASK, 1));
        assertEquals(
                new LeaseRejection.SessionEnded(TASK, 1),
                rejection(apply(7, new LeaseCommand.Renew(TASK, 1))));
        applyAccepted(0, new LeaseCommand.Expire(TASK, 1, 0));
        assertEquals(9, machine.heldLeases().get(0).session());
    }

    @Test
    void transferChoosesAmongQueuedSessions() {
        acquire(7);
        assertEquals(
                new LeaseRejection.NoSuccessor(TASK, 0),
                rejection(apply(7, new LeaseCommand.Transfer(TASK, 1, 0))));
        acquire(8);
        acquire(9);
        assertEquals(
                new LeaseRejection.NoSuccessor(TASK, 5),
                rejection(apply(7, new LeaseCommand.Transfer(TASK, 1, 5))));
        applyAccepted(7, new LeaseCommand.Transfer(TASK, 1, 9));
        assertEquals(9, machine.heldLeases().get(0).session());
        assertEquals(
                new LeaseRejection.AlreadyHeld(TASK, 2),
                rejection(apply(9, new LeaseCommand.Withdraw(TASK))),
                "the grant precedes the withdrawal in the log");
        applyAccepted(8, new LeaseCommand.Withdraw(TASK));
        assertEquals(0, machine.heldLeases().get(0).waiterCount());
    }

    @Test
    void limitsAreEnforced() {
        LeaseStateMachine limited = new LeaseStateMachine(new LeaseLimits(1, 10, 1, 1));
        Command first = new Command(7, 1, 0, new LeaseCommand.Acquire("a", 5, true).encode());
        limited.apply(1, first);
        assertInstanceOf(
                LeaseRejection.TooManyLeases.class,
                rejection(
                        limited.apply(
                                2,
                                new Command(
                                        7,
                                        2,
                                        0,
                                        new LeaseCommand.Acquire("b", 5, true).encode()))));
        limited.apply(3, new Command(8, 1, 0, new LeaseCommand.Acquire("a", 5, true).encode()));
        assertEquals(
                new LeaseRejection.QueueFull("a", 1),
                rejection(limited.apply(4, new Command(9, 1, 0, first.body()))));
        assertInstanceOf(
                LeaseRejection.InvalidTerms.class,
                rejection(
                        limited.apply(
                                5,
                                new Command(
                                        9,
                                        2,
                                        0,
                                        new LeaseCommand.Acquire("a", 11, true).encode()))));
        assertInstanceOf(
                LeaseRejection.InvalidTerms.class,
                rejection(
                        limited.apply(
                                6,
                                new Command(
                                        9, 3, 0, new LeaseCommand.Acquire("", 5, true).encode()))));
    }

    /** A truncated command is rejected and does not change the state. */
    @Test
    void malformedCommandChangesNothing() {
        acquire(7);
        byte[] before = machine.snapshot();
        byte[] valid = new LeaseCommand.FencedAction(TASK, 1, new byte[4]).encode();
        for (int length = 0; length < valid.length; length++) {
            CommandEffects effects =
                    machine.apply(++index, new Command(7, index, 0, Arrays.copyOf(valid, length)));
            assertEquals("cluster-malformed", effects.rejectionCode());
        }
        assertArrayEquals(before, machine.snapshot());
    }

    /** Format version 1 must remain readable by all later versions. */
    @Test
    void snapshotFormatVersion1IsReadable() throws IOException {
        acquire(7);
        acquire(8);
        applyAccepted(7, new LeaseCommand.Renew(TASK, 1));
        machine.sessionEnded(++index, 7);
        applyAccepted(9, new LeaseCommand.Acquire("trials", 3 * NANOS_PER_SECOND, true));
        applyAccepted(0, new LeaseCommand.RaiseTokenFloor(40));
        String golden =
                Files.readString(Path.of("src/test/resources/lease/snapshot-1.hex"))
                        .replaceAll("\\s", "");
        assertEquals(golden, HexFormat.of().formatHex(machine.snapshot()));
        LeaseStateMachine restored = new LeaseStateMachine();
        restored.restore(HexFormat.of().parseHex(golden));
        assertEquals(machine.heldLeases(), restored.heldLeases());
        assertArrayEquals(machine.snapshot(), restored.snapshot());
        byte[] malformed = machine.snapshot();
        malformed[8] = 1; // Makes the last token lower than a held token.
        assertThrows(ClusterException.Malformed.class, () -> restored.restore(malformed));
        assertEquals(41, restored.lastToken() + 1, "a rejected snapshot must not change the state");
    }

    /**
     * {@code OperationalErrorTest} checks that the codes of all operational errors are documented.
     */
    @ParameterizedTest
    @EnumSource(LeaseRejectionKind.class)
    void everyRejectionHasItsCode(LeaseRejectionKind kind) throws ReflectiveOperationException {
        assertEquals(kind.type().getField("CODE").get(null), kind.code());
        assertEquals(
                LeaseRejection.class.getPermittedSubclasses().length,
                LeaseRejectionKind.values().length);
    }
}
