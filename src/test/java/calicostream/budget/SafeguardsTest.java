// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * For each safeguard the shortest history in which the engine exceeds its cap without it, and does
 * not with it.
 */
class SafeguardsTest {
    private static final long MS = 1_000_000;
    private static final int CAP = 10;
    private static final BudgetSettings SETTINGS =
            new BudgetSettings(
                    List.of(new BudgetSettings.Pool("pool", 1, 100)),
                    List.of(new BudgetSettings.Tenant("tenant", 1, Map.of())),
                    List.of("a", "b"),
                    1_000 * MS,
                    500,
                    2);

    /** One engine, which runs what it is sent, and two processes. */
    private static final class Fleet {
        private final Set<Safeguard> disabledSafeguards;
        private final GrantStateMachine machine;
        private long index;
        private int running;
        private boolean isOverCap;
        private final Process a;
        private final Process b;

        Fleet(Safeguard without) {
            disabledSafeguards =
                    without == null ? EnumSet.noneOf(Safeguard.class) : EnumSet.of(without);
            machine = new GrantStateMachine(SETTINGS, disabledSafeguards);
            apply(9, new BudgetCommand.UpdateEngine("e", 1, "pool", CAP));
            a = new Process("a", 1);
            b = new Process("b", 2);
            a.open();
            b.open();
        }

        CommandEffects apply(long session, BudgetCommand command) {
            return machine.apply(++index, new Command(session, 1, 0, command.encode()));
        }

        void checkCap() {
            isOverCap |= running > machine.ledger().engines().get("e").cap();
        }

        /** As many as the state machine lets the process have. */
        void grantMost(Process process) {
            int sessions = CAP;
            while (sessions > 0 && !grant(process, sessions)) {
                sessions--;
            }
        }

        boolean grant(Process process, int sessions) {
            return apply(
                            2,
                            new BudgetCommand.Allocate(
                                    1,
                                    List.of(
                                            new BudgetCommand.Grant(
                                                    process.name,
                                                    process.session,
                                                    "e",
                                                    1,
                                                    "tenant",
                                                    sessions))))
                    .isAccepted();
        }

        void count(Process process, boolean former, long seen, int sessions) {
            apply(
                    2,
                    new BudgetCommand.EngineCount(
                            "e", 1, process.name, process.session, former, seen, sessions, false));
        }

        void expire(Process process) {
            apply(
                    0,
                    new BudgetCommand.Expire(
                            process.name,
                            process.session,
                            false,
                            machine.ledger().processes().get(process.name).reportNumber()));
        }

        final class Process {
            final String name;
            final long session;
            final GrantedSessions sessions;
            private final DemandEstimator demand = new DemandEstimator(1, MS);

            Process(String name, long session) {
                this.name = name;
                this.session = session;
                sessions = new GrantedSessions(SETTINGS, name, disabledSafeguards);
                sessions.registerEngine("e", "pool");
                sessions.engineConnected(0, 1);
                apply(session, new BudgetCommand.Join(name));
            }

            void open() {
                sessions.boundOrphaned(0, 1, 0);
            }

            CommandEffects reports(long now) {
                return apply(session, sessions.nextReport(now, demand));
            }

            void receives(CommandEffects effects, long now) {
                sessions.applyReply(BudgetCommand.RenewalReply.decode(effects.response()), now);
            }

            /** Starts all sessions that it may; the engine acknowledges each at once. */
            void startsAll(long now) {
                while (sessions.mayStart(0, 0, now)) {
                    sessions.sessionStarted(0, 0);
                    sessions.sessionAcknowledged(0, 1);
                    running++;
                }
                checkCap();
            }
        }
    }

    private interface History {
        void run(Fleet fleet);
    }

    private static void assertGuards(Safeguard safeguard, History history) {
        Fleet with = new Fleet(null);
        history.run(with);
        assertTrue(
                !with.isOverCap, safeguard + ": over the cap with all safeguards, " + with.running);
        Fleet without = new Fleet(safeguard);
        history.run(without);
        assertTrue(without.isOverCap, safeguard + ": disabled, and not found");
    }

    /** The process is granted eight sessions and has acknowledged them. */
    private static void grantEight(Fleet fleet, Fleet.Process process) {
        assertTrue(fleet.grant(process, 8));
        process.receives(process.reports(0), 0);
    }

    private static void otherProcessUsesTheRest(Fleet fleet, long now) {
        fleet.grantMost(fleet.b);
        fleet.b.receives(fleet.b.reports(now), now);
        fleet.b.startsAll(now);
    }

    @Test
    void grantsCountUntilTheirExpiry() {
        assertGuards(
                Safeguard.GRANT_HELD_TO_EXPIRY,
                fleet -> {
                    grantEight(fleet, fleet.a);
                    fleet.count(fleet.a, false, fleet.index, 0);
                    otherProcessUsesTheRest(fleet, 0);
                    fleet.a.startsAll(0);
                });
    }

    @Test
    void loweredGrantsCountUntilTheyAreAcknowledged() {
        assertGuards(
                Safeguard.LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED,
                fleet -> {
                    grantEight(fleet, fleet.a);
                    assertTrue(fleet.grant(fleet.a, 1));
                    otherProcessUsesTheRest(fleet, 0);
                    fleet.a.startsAll(0);
                });
    }

    @Test
    void sessionsThatASilentProcessLeftRunningCount() {
        assertGuards(
                Safeguard.ORPHANED_SESSIONS_COUNT,
                fleet -> {
                    grantEight(fleet, fleet.a);
                    fleet.a.startsAll(0);
                    fleet.expire(fleet.a);
                    otherProcessUsesTheRest(fleet, 1_100 * MS);
                });
    }

    @Test
    void aCountFromBeforeTheExpiryProvesNothing() {
        assertGuards(
                Safeguard.PROOF_AFTER_EXPIRY,
                fleet -> {
                    grantEight(fleet, fleet.a);
                    long seen = fleet.index;
                    fleet.a.startsAll(0);
                    fleet.expire(fleet.a);
                    fleet.count(fleet.a, false, seen, 0);
                    otherProcessUsesTheRest(fleet, 1_100 * MS);
                });
    }

    @Test
    void whatWasDecidedBeforeAStopIsSentAfterIt() {
        assertGuards(
                Safeguard.UNACKNOWLEDGED_COUNTS,
                fleet -> {
                    grantEight(fleet, fleet.a);
                    int decided = 0;
                    while (fleet.a.sessions.mayStart(0, 0, 0)) {
                        fleet.a.sessions.sessionStarted(0, 0);
                        decided++;
                    }
                    assertEquals(SETTINGS.maxUnacknowledged(), decided);
                    fleet.expire(fleet.a);
                    fleet.count(fleet.a, false, fleet.index, 0);
                    otherProcessUsesTheRest(fleet, 1_100 * MS);
                    fleet.running += decided;
                    fleet.checkCap();
                });
    }

    @Test
    void anAllocationOverTheCapIsRefused() {
        assertGuards(
                Safeguard.CAP_CHECKED_AT_APPLY,
                fleet -> {
                    grantEight(fleet, fleet.a);
                    fleet.a.startsAll(0);
                    otherProcessUsesTheRest(fleet, 0);
                });
    }

    @Test
    void aLoweredCapIsInForceOnceNoMoreIsInUse() {
        assertGuards(
                Safeguard.LOWERED_CAP_IS_DEFERRED,
                fleet -> {
                    grantEight(fleet, fleet.a);
                    fleet.a.startsAll(0);
                    fleet.apply(9, new BudgetCommand.UpdateEngine("e", 1, "pool", 4));
                    fleet.checkCap();
                });
    }

    @Test
    void theLeaseCountsFromBeforeTheReportWasSent() {
        assertGuards(
                Safeguard.LEASE_TIMED_FROM_REQUEST,
                fleet -> {
                    assertTrue(fleet.grant(fleet.a, 8));
                    CommandEffects late = fleet.a.reports(0);
                    fleet.expire(fleet.a);
                    fleet.count(fleet.a, false, fleet.index, 0);
                    otherProcessUsesTheRest(fleet, 1_100 * MS);
                    fleet.a.receives(late, 1_500 * MS);
                    fleet.a.startsAll(1_500 * MS);
                });
    }

    @Test
    void aProcessThatReportedItsExpiryAppliesNoOlderReply() {
        assertGuards(
                Safeguard.NO_REPLY_FROM_BEFORE_EXPIRY,
                fleet -> {
                    grantEight(fleet, fleet.a);
                    CommandEffects late = fleet.a.reports(900 * MS);
                    assertTrue(fleet.grant(fleet.a, 1));
                    fleet.a.reports(1_000 * MS);
                    otherProcessUsesTheRest(fleet, 1_010 * MS);
                    fleet.a.receives(late, 1_020 * MS);
                    fleet.a.startsAll(1_020 * MS);
                });
    }

    @Test
    void aRestartedProcessUsesNoFloorBeforeItKnowsWhatItLeftRunning() {
        assertGuards(
                Safeguard.FLOOR_AFTER_ORPHANS_KNOWN,
                fleet -> {
                    fleet.grantMost(fleet.a);
                    fleet.a.receives(fleet.a.reports(0), 0);
                    fleet.a.startsAll(0);
                    fleet.b.startsAll(0);
                    Fleet.Process again = fleet.new Process("a", 3);
                    again.startsAll(10 * MS);
                });
    }
}
