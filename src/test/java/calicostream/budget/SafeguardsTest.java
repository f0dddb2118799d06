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
 * Runs, for each safeguard, a minimal sequence of events in which the engine exceeds its cap if the
 * safeguard is disabled, and stays within the cap if it is enabled.
 */
class SafeguardsTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int CAP = 10;
    private static final BudgetSettings SETTINGS =
            new BudgetSettings(
                    List.of(new BudgetSettings.Pool("pool", 1, 100)),
                    List.of(new BudgetSettings.Tenant("tenant", 1, Map.of())),
                    List.of("a", "b"),
                    1_000 * NANOS_PER_MILLI,
                    500,
                    2);

    /** One engine, which runs all sessions that it is sent, and two processes. */
    private static final class Fleet {
        private final Set<Safeguard> disabledSafeguards;
        private final GrantStateMachine machine;
        private long index;
        private int running;
        private boolean isOverCap;
        private final Process processA;
        private final Process processB;

        Fleet(Safeguard disabledSafeguard) {
            disabledSafeguards =
                    disabledSafeguard == null
                            ? EnumSet.noneOf(Safeguard.class)
                            : EnumSet.of(disabledSafeguard);
            machine = new GrantStateMachine(SETTINGS, disabledSafeguards);
            apply(9, new BudgetCommand.UpdateEngine("e", 1, "pool", CAP));
            processA = new Process("a", 1);
            processB = new Process("b", 2);
            processA.makeFloorUsable();
            processB.makeFloorUsable();
        }

        CommandEffects apply(long session, BudgetCommand command) {
            return machine.apply(++index, new Command(session, 1, 0, command.encode()));
        }

        void checkCap() {
            isOverCap |= running > machine.ledger().engines().get("e").cap();
        }

        /** Grants the process as many sessions as the state machine allows. */
        void grantAsManyAsAllowed(Process process) {
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

        void count(Process process, boolean forPredecessors, long appliedIndex, int sessions) {
            apply(
                    2,
                    new BudgetCommand.EngineCount(
                            "e",
                            1,
                            process.name,
                            process.session,
                            forPredecessors,
                            appliedIndex,
                            sessions,
                            false));
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
            private final DemandEstimator demand = new DemandEstimator(1, NANOS_PER_MILLI);

            Process(String name, long session) {
                this.name = name;
                this.session = session;
                sessions = new GrantedSessions(SETTINGS, name, disabledSafeguards);
                sessions.registerEngine("e", "pool");
                sessions.engineConnected(0, 1);
                apply(session, new BudgetCommand.Join(name));
            }

            void makeFloorUsable() {
                sessions.boundOrphaned(0, 1, 0);
            }

            CommandEffects report(long now) {
                return apply(session, sessions.nextReport(now, demand));
            }

            void receive(CommandEffects effects, long now) {
                sessions.applyReply(BudgetCommand.RenewalReply.decode(effects.response()), now);
            }

            /** Starts all sessions that are allowed; the engine acknowledges each at once. */
            void startAllAllowed(long now) {
                while (sessions.mayStart(0, 0, now)) {
                    sessions.sessionStarted(0, 0);
                    sessions.sessionAcknowledged(0, 1);
                    running++;
                }
                checkCap();
            }
        }
    }

    private interface Scenario {
        void run(Fleet fleet);
    }

    private static void assertViolatesCapOnlyWithout(Safeguard safeguard, Scenario scenario) {
        Fleet protectedFleet = new Fleet(null);
        scenario.run(protectedFleet);
        assertTrue(
                !protectedFleet.isOverCap,
                safeguard
                        + ": over the cap with all safeguards, running "
                        + protectedFleet.running);
        Fleet unprotectedFleet = new Fleet(safeguard);
        scenario.run(unprotectedFleet);
        assertTrue(unprotectedFleet.isOverCap, safeguard + ": no violation while it is disabled");
    }

    /** Grants the process eight sessions, which it receives with its next report. */
    private static void grantEightSessions(Fleet fleet, Fleet.Process process) {
        assertTrue(fleet.grant(process, 8));
        process.receive(process.report(0), 0);
    }

    private static void otherProcessUsesRemainingCapacity(Fleet fleet, long now) {
        fleet.grantAsManyAsAllowed(fleet.processB);
        fleet.processB.receive(fleet.processB.report(now), now);
        fleet.processB.startAllAllowed(now);
    }

    @Test
    void countBeforeExpiryDoesNotReleaseGrant() {
        assertViolatesCapOnlyWithout(
                Safeguard.GRANT_HELD_TO_EXPIRY,
                fleet -> {
                    grantEightSessions(fleet, fleet.processA);
                    fleet.count(fleet.processA, false, fleet.index, 0);
                    otherProcessUsesRemainingCapacity(fleet, 0);
                    fleet.processA.startAllAllowed(0);
                });
    }

    @Test
    void loweredGrantCountsUntilAcknowledged() {
        assertViolatesCapOnlyWithout(
                Safeguard.LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED,
                fleet -> {
                    grantEightSessions(fleet, fleet.processA);
                    assertTrue(fleet.grant(fleet.processA, 1));
                    otherProcessUsesRemainingCapacity(fleet, 0);
                    fleet.processA.startAllAllowed(0);
                });
    }

    @Test
    void sessionsOfExpiredProcessStillCount() {
        assertViolatesCapOnlyWithout(
                Safeguard.ORPHANED_SESSIONS_COUNT,
                fleet -> {
                    grantEightSessions(fleet, fleet.processA);
                    fleet.processA.startAllAllowed(0);
                    fleet.expire(fleet.processA);
                    otherProcessUsesRemainingCapacity(fleet, 1_100 * NANOS_PER_MILLI);
                });
    }

    @Test
    void countRequestedBeforeExpiryIsRejected() {
        assertViolatesCapOnlyWithout(
                Safeguard.PROOF_AFTER_EXPIRY,
                fleet -> {
                    grantEightSessions(fleet, fleet.processA);
                    long indexBeforeExpiry = fleet.index;
                    fleet.processA.startAllAllowed(0);
                    fleet.expire(fleet.processA);
                    fleet.count(fleet.processA, false, indexBeforeExpiry, 0);
                    otherProcessUsesRemainingCapacity(fleet, 1_100 * NANOS_PER_MILLI);
                });
    }

    @Test
    void sessionsSentAfterProcessStopStillCount() {
        assertViolatesCapOnlyWithout(
                Safeguard.UNACKNOWLEDGED_COUNTS,
                fleet -> {
                    grantEightSessions(fleet, fleet.processA);
                    int unsentSessions = 0;
                    while (fleet.processA.sessions.mayStart(0, 0, 0)) {
                        fleet.processA.sessions.sessionStarted(0, 0);
                        unsentSessions++;
                    }
                    assertEquals(SETTINGS.maxUnacknowledged(), unsentSessions);
                    fleet.expire(fleet.processA);
                    fleet.count(fleet.processA, false, fleet.index, 0);
                    otherProcessUsesRemainingCapacity(fleet, 1_100 * NANOS_PER_MILLI);
                    fleet.running += unsentSessions;
                    fleet.checkCap();
                });
    }

    @Test
    void allocationOverCapIsRejected() {
        assertViolatesCapOnlyWithout(
                Safeguard.CAP_CHECKED_AT_APPLY,
                fleet -> {
                    grantEightSessions(fleet, fleet.processA);
                    fleet.processA.startAllAllowed(0);
                    otherProcessUsesRemainingCapacity(fleet, 0);
                });
    }

    @Test
    void loweredCapWaitsForRunningSessions() {
        assertViolatesCapOnlyWithout(
                Safeguard.LOWERED_CAP_IS_DEFERRED,
                fleet -> {
                    grantEightSessions(fleet, fleet.processA);
                    fleet.processA.startAllAllowed(0);
                    fleet.apply(9, new BudgetCommand.UpdateEngine("e", 1, "pool", 4));
                    fleet.checkCap();
                });
    }

    @Test
    void leaseStartsWhenReportIsCreated() {
        assertViolatesCapOnlyWithout(
                Safeguard.LEASE_TIMED_FROM_REQUEST,
                fleet -> {
                    assertTrue(fleet.grant(fleet.processA, 8));
                    CommandEffects delayedReply = fleet.processA.report(0);
                    fleet.expire(fleet.processA);
                    fleet.count(fleet.processA, false, fleet.index, 0);
                    otherProcessUsesRemainingCapacity(fleet, 1_100 * NANOS_PER_MILLI);
                    fleet.processA.receive(delayedReply, 1_500 * NANOS_PER_MILLI);
                    fleet.processA.startAllAllowed(1_500 * NANOS_PER_MILLI);
                });
    }

    @Test
    void replyFromBeforeReportedExpiryIsIgnored() {
        assertViolatesCapOnlyWithout(
                Safeguard.NO_REPLY_FROM_BEFORE_EXPIRY,
                fleet -> {
                    grantEightSessions(fleet, fleet.processA);
                    CommandEffects delayedReply = fleet.processA.report(900 * NANOS_PER_MILLI);
                    assertTrue(fleet.grant(fleet.processA, 1));
                    fleet.processA.report(1_000 * NANOS_PER_MILLI);
                    otherProcessUsesRemainingCapacity(fleet, 1_010 * NANOS_PER_MILLI);
                    fleet.processA.receive(delayedReply, 1_020 * NANOS_PER_MILLI);
                    fleet.processA.startAllAllowed(1_020 * NANOS_PER_MILLI);
                });
    }

    @Test
    void restartedProcessHasNoFloorUntilOrphansKnown() {
        assertViolatesCapOnlyWithout(
                Safeguard.FLOOR_AFTER_ORPHANS_KNOWN,
                fleet -> {
                    fleet.grantAsManyAsAllowed(fleet.processA);
                    fleet.processA.receive(fleet.processA.report(0), 0);
                    fleet.processA.startAllAllowed(0);
                    fleet.processB.startAllAllowed(0);
                    Fleet.Process restarted = fleet.new Process("a", 3);
                    restarted.startAllAllowed(10 * NANOS_PER_MILLI);
                });
    }
}
