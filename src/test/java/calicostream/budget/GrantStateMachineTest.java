// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.ClusterException;
import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class GrantStateMachineTest {
    private static final BudgetSettings SETTINGS =
            new BudgetSettings(
                    List.of(new BudgetSettings.Pool("pool", 2, 100)),
                    List.of(new BudgetSettings.Tenant("t", 1, Map.of())),
                    List.of("a", "b"),
                    1_000_000_000,
                    500,
                    2);
    private final GrantStateMachine machine = new GrantStateMachine(SETTINGS);
    private long index;

    private CommandEffects apply(long session, BudgetCommand command) {
        return machine.apply(++index, new Command(session, 1, 0, command.encode()));
    }

    private String applyRejected(long session, BudgetCommand command) {
        byte[] before = machine.snapshot();
        String rejectionCode = apply(session, command).rejectionCode();
        byte[] after = machine.snapshot();
        Arrays.fill(before, 9, 17, (byte) 0); // applied index, which advances even on a rejection
        Arrays.fill(after, 9, 17, (byte) 0);
        assertArrayEquals(
                before, after, "a rejected command changes nothing but the applied index");
        return rejectionCode;
    }

    private static BudgetCommand.Allocate allocate(
            long fencingToken, String process, long session, long incarnation, int sessions) {
        return new BudgetCommand.Allocate(
                fencingToken,
                List.of(
                        new BudgetCommand.Grant(
                                process, session, "e", incarnation, "t", sessions)));
    }

    private void addEngineAndProcesses() {
        apply(9, new BudgetCommand.UpdateEngine("e", 1, "pool", 10));
        apply(1, new BudgetCommand.Join("a"));
        apply(2, new BudgetCommand.Join("b"));
    }

    @Test
    void rejectedCommandHasCodeAndChangesNothing() {
        assertEquals("budget-other-incarnation", applyRejected(1, allocate(1, "a", 1, 1, 1)));
        addEngineAndProcesses();
        assertTrue(apply(1, allocate(5, "a", 1, 1, 8)).isAccepted());
        assertEquals("budget-old-token", applyRejected(1, allocate(4, "a", 1, 1, 1)));
        assertEquals("budget-over-cap", applyRejected(1, allocate(5, "b", 2, 1, 3)));
        assertEquals("budget-grant-over", applyRejected(1, allocate(5, "b", 7, 1, 1)));
        assertEquals(
                "budget-unknown",
                applyRejected(
                        1,
                        new BudgetCommand.Allocate(
                                5, List.of(new BudgetCommand.Grant("a", 1, "e", 1, "x", 1)))));
        assertEquals(
                "budget-floors-over-cap",
                applyRejected(1, new BudgetCommand.UpdateEngine("e", 1, "pool", 3)));
        assertEquals(
                "budget-other-incarnation",
                applyRejected(1, new BudgetCommand.UpdateEngine("e", 0, "pool", 10)));
        assertEquals(
                "budget-no-proof",
                applyRejected(
                        2, new BudgetCommand.EngineCount("e", 1, "a", 1, false, index, 0, false)));
        assertEquals(
                "budget-not-due", applyRejected(2, new BudgetCommand.Expire("a", 1, false, 0)));
        assertTrue(apply(1, new BudgetCommand.Renew(1, 1, List.of(), List.of())).isAccepted());
        assertEquals(
                "budget-old-report",
                applyRejected(1, new BudgetCommand.Renew(1, 1, List.of(), List.of())));
        apply(9, new BudgetCommand.UpdateEngine("e", 1, "pool", 6));
        assertEquals("budget-cap-lowered", applyRejected(1, allocate(5, "b", 2, 1, 1)));
        assertEquals(
                "cluster-malformed",
                machine.apply(++index, new Command(1, 1, 0, new byte[] {1, 99})).rejectionCode());
    }

    @Test
    void loweredCapComesIntoForceOnceUsageFits() {
        addEngineAndProcesses();
        apply(1, allocate(1, "a", 1, 1, 8));
        assertTrue(apply(9, new BudgetCommand.UpdateEngine("e", 1, "pool", 5)).events().isEmpty());
        apply(1, allocate(1, "a", 1, 1, 3));
        assertEquals(10, machine.ledger().engines().get("e").cap());
        CommandEffects acknowledged =
                apply(
                        1,
                        new BudgetCommand.Renew(
                                1,
                                2,
                                List.of(new BudgetCommand.EngineUsage("e", 1, 3, 0)),
                                List.of()));
        assertEquals("budget-cap-in-force", acknowledged.events().get(0).kind());
        assertEquals(5, machine.ledger().engines().get("e").cap());
    }

    @Test
    void replacedEngineStartsWithoutAllocations() {
        addEngineAndProcesses();
        apply(1, allocate(1, "a", 1, 1, 8));
        apply(9, new BudgetCommand.UpdateEngine("e", 2, "pool", 10));
        assertEquals(4, machine.ledger().committed("e"));
        assertEquals("budget-other-incarnation", applyRejected(1, allocate(1, "a", 1, 1, 1)));
        apply(9, new BudgetCommand.RemoveEngine("e", 2));
        assertEquals(
                "budget-other-incarnation",
                applyRejected(9, new BudgetCommand.UpdateEngine("e", 2, "pool", 10)),
                "a removed incarnation cannot be added again");
    }

    @Test
    void truncatedSnapshotIsRejectedAndChangesNothing() {
        addEngineAndProcesses();
        apply(1, allocate(1, "a", 1, 1, 5));
        byte[] snapshot = machine.snapshot();
        GrantStateMachine copy = new GrantStateMachine(SETTINGS);
        copy.restore(snapshot);
        assertArrayEquals(snapshot, copy.snapshot());
        for (int length = 0; length < snapshot.length; length++) {
            byte[] truncated = Arrays.copyOf(snapshot, length);
            assertThrows(ClusterException.Malformed.class, () -> copy.restore(truncated));
        }
        assertArrayEquals(snapshot, copy.snapshot(), "a rejected snapshot changes nothing");
    }

    @Test
    void invalidSettingErrorNamesKey() {
        assertTrue(
                assertThrows(
                                BudgetException.InvalidSetting.class,
                                () ->
                                        new BudgetSettings(
                                                List.of(new BudgetSettings.Pool("p", 1, 5)),
                                                List.of(
                                                        new BudgetSettings.Tenant(
                                                                "t",
                                                                1,
                                                                Map.of(
                                                                        "p",
                                                                        new BudgetSettings.Quota(
                                                                                6, 8)))),
                                                List.of("a"),
                                                1_000_000_000,
                                                500,
                                                1))
                        .getMessage()
                        .contains("pools.p.cap"));
    }
}
