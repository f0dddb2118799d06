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
 * For each safeguard the shortest history in which the engine passes its cap without it, and does
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
    private static final class World {
        private final Set<Safeguard> out;
        private final GrantStateMachine machine;
        private long index;
        private int running;
        private boolean over;
        private final Process a;
        private final Process b;

        World(Safeguard without) {
            out = without == null ? EnumSet.noneOf(Safeguard.class) : EnumSet.of(without);
            machine = new GrantStateMachine(SETTINGS, out);
            tell(9, new BudgetCommand.UpdateEngine("e", 1, "pool", CAP));
            a = new Process("a", 1);
            b = new Process("b", 2);
            a.open();
            b.open();
        }

        CommandEffects tell(long session, BudgetCommand command) {
            return machine.apply(++index, new Command(session, 1, 0, command.encode()));
        }

        void look() {
            over |= running > machine.ledger().engines().get("e").cap();
        }

        /** As many as the machine lets the process have. */
        void grantMost(Process process) {
            int sessions = CAP;
            while (sessions > 0 && !grant(process, sessions)) {
                sessions--;
            }
        }

        boolean grant(Process process, int sessions) {
            return tell(
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
            tell(
                    2,
                    new BudgetCommand.EngineCount(
                            "e", 1, process.name, process.session, former, seen, sessions, false));
        }

        void expire(Process process) {
            tell(
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
            final GrantedSessions holdings;
            private final DemandEstimator demand = new DemandEstimator(1, MS);

            Process(String name, long session) {
                this.name = name;
                this.session = session;
                holdings = new GrantedSessions(SETTINGS, name, out);
                holdings.registerEngine("e", "pool");
                holdings.engineConnected(0, 1);
                tell(session, new BudgetCommand.Join(name));
            }

            void open() {
                holdings.boundOrphaned(0, 1, 0);
            }

            CommandEffects asks(long now) {
                return tell(session, holdings.nextReport(now, demand));
            }

            void hears(CommandEffects effects, long now) {
                holdings.applyReply(BudgetCommand.RenewalReply.decode(effects.response()), now);
            }

            /** Begins all that it may; the engine has each at once. */
            void begins(long now) {
                while (holdings.mayStart(0, 0, now)) {
                    holdings.sessionStarted(0, 0);
                    holdings.sessionAcknowledged(0, 1);
                    running++;
                }
                look();
            }
        }
    }

    private interface History {
        void play(World world);
    }

    private static void assertGuards(Safeguard safeguard, History history) {
        World with = new World(null);
        history.play(with);
        assertTrue(!with.over, safeguard + ": over the cap with all safeguards, " + with.running);
        World without = new World(safeguard);
        history.play(without);
        assertTrue(without.over, safeguard + ": taken out, and not found");
    }

    /** The process has eight and knows it. */
    private static void eight(World world, World.Process process) {
        assertTrue(world.grant(process, 8));
        process.hears(process.asks(0), 0);
    }

    private static void theOtherTakesTheRest(World world, long now) {
        world.grantMost(world.b);
        world.b.hears(world.b.asks(now), now);
        world.b.begins(now);
    }

    @Test
    void grantsAreHeldToTheirExpiry() {
        assertGuards(
                Safeguard.GRANT_HELD_TO_EXPIRY,
                world -> {
                    eight(world, world.a);
                    world.count(world.a, false, world.index, 0);
                    theOtherTakesTheRest(world, 0);
                    world.a.begins(0);
                });
    }

    @Test
    void loweredGrantsCountUntilTheyAreKnown() {
        assertGuards(
                Safeguard.LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED,
                world -> {
                    eight(world, world.a);
                    assertTrue(world.grant(world.a, 1));
                    theOtherTakesTheRest(world, 0);
                    world.a.begins(0);
                });
    }

    @Test
    void whatASilentProcessLeftRunningCounts() {
        assertGuards(
                Safeguard.ORPHANED_SESSIONS_COUNT,
                world -> {
                    eight(world, world.a);
                    world.a.begins(0);
                    world.expire(world.a);
                    theOtherTakesTheRest(world, 1_100 * MS);
                });
    }

    @Test
    void aCountFromBeforeTheExpiryProvesNothing() {
        assertGuards(
                Safeguard.PROOF_AFTER_EXPIRY,
                world -> {
                    eight(world, world.a);
                    long seen = world.index;
                    world.a.begins(0);
                    world.expire(world.a);
                    world.count(world.a, false, seen, 0);
                    theOtherTakesTheRest(world, 1_100 * MS);
                });
    }

    @Test
    void whatWasDecidedBeforeAStopIsSentAfterIt() {
        assertGuards(
                Safeguard.UNACKNOWLEDGED_COUNTS,
                world -> {
                    eight(world, world.a);
                    int decided = 0;
                    while (world.a.holdings.mayStart(0, 0, 0)) {
                        world.a.holdings.sessionStarted(0, 0);
                        decided++;
                    }
                    assertEquals(SETTINGS.maxUnacknowledged(), decided);
                    world.expire(world.a);
                    world.count(world.a, false, world.index, 0);
                    theOtherTakesTheRest(world, 1_100 * MS);
                    world.running += decided;
                    world.look();
                });
    }

    @Test
    void aDivisionOverTheCapIsRefused() {
        assertGuards(
                Safeguard.CAP_CHECKED_AT_APPLY,
                world -> {
                    eight(world, world.a);
                    world.a.begins(0);
                    theOtherTakesTheRest(world, 0);
                });
    }

    @Test
    void aLoweredCapIsInForceOnceItIsTrue() {
        assertGuards(
                Safeguard.LOWERED_CAP_IS_DEFERRED,
                world -> {
                    eight(world, world.a);
                    world.a.begins(0);
                    world.tell(9, new BudgetCommand.UpdateEngine("e", 1, "pool", 4));
                    world.look();
                });
    }

    @Test
    void grantsCountFromBeforeTheyWereAskedFor() {
        assertGuards(
                Safeguard.LEASE_TIMED_FROM_REQUEST,
                world -> {
                    assertTrue(world.grant(world.a, 8));
                    CommandEffects late = world.a.asks(0);
                    world.expire(world.a);
                    world.count(world.a, false, world.index, 0);
                    theOtherTakesTheRest(world, 1_100 * MS);
                    world.a.hears(late, 1_500 * MS);
                    world.a.begins(1_500 * MS);
                });
    }

    @Test
    void whoSaidThatItsGrantsAreOverTakesNoOlderAnswer() {
        assertGuards(
                Safeguard.NO_REPLY_FROM_BEFORE_EXPIRY,
                world -> {
                    eight(world, world.a);
                    CommandEffects late = world.a.asks(900 * MS);
                    assertTrue(world.grant(world.a, 1));
                    world.a.asks(1_000 * MS);
                    theOtherTakesTheRest(world, 1_010 * MS);
                    world.a.hears(late, 1_020 * MS);
                    world.a.begins(1_020 * MS);
                });
    }

    @Test
    void aStartedProcessUsesNoFloorBeforeItKnowsWhatItLeftRunning() {
        assertGuards(
                Safeguard.FLOOR_AFTER_ORPHANS_KNOWN,
                world -> {
                    world.grantMost(world.a);
                    world.a.hears(world.a.asks(0), 0);
                    world.a.begins(0);
                    world.b.begins(0);
                    World.Process again = world.new Process("a", 3);
                    again.begins(10 * MS);
                });
    }
}
