// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.ClusterException;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterChangePlan;
import calicostream.cluster.tcp.TcpTransport;
import calicostream.durable.DurableException;
import calicostream.durable.LogStatus;
import calicostream.durable.StateLossDetector;
import calicostream.durable.StateLossDetector.StateLoss;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a member decides, without thread, socket, disk or clock. */
class DecisionsTest {
    private static final Voter ONE = new Voter(1, 0);
    private static final Voter TWO = new Voter(2, 0);
    private static final Voter THREE = new Voter(3, 0);
    private static final Voter FOUR = new Voter(4, 0);
    private static final long MILLI = 1_000_000;

    private static MemberStatus signs(
            MemberStatus.State state,
            boolean leads,
            int leader,
            List<Voter> voters,
            long noQuorum,
            long session,
            LogStatus.State disk) {
        DurableException trouble =
                disk == LogStatus.State.READY ? null : new DurableException.DiskFull("here", null);
        return new MemberStatus(
                state,
                state == MemberStatus.State.FAILED ? "because" : "",
                ONE,
                leader,
                leads,
                7,
                40,
                50,
                voters,
                List.of(),
                noQuorum,
                1,
                0,
                0,
                session,
                session != 0,
                0,
                new LogStatus(disk, 0, trouble, 1, false, 0, 0, 0, 0, 0),
                0,
                new TcpTransport.Metrics(0, 0, 0, 0, 0),
                "",
                Map.of());
    }

    private static final MemberStatus LEADS =
            signs(
                    MemberStatus.State.VOTER,
                    true,
                    1,
                    List.of(ONE, TWO, THREE),
                    0,
                    5,
                    LogStatus.State.READY);

    private static StateLossDetector.LocalState own(
            StateLossDetector.VotingStatus standing, long last, StateLoss doubt) {
        return new StateLossDetector.LocalState(3, last, "", last, standing, doubt, "the facts");
    }

    @Test
    void startsByWhatTheFolderSays() {
        StateLossDetector.LocalState blank =
                own(StateLossDetector.VotingStatus.NEW, 0, StateLoss.NONE);
        Voter next = new Voter(1, 1);
        assertEquals(
                StartupRole.Role.FOUNDER,
                StartupRole.of(true, ONE, Optional.empty(), blank).role());
        assertEquals(
                StartupRole.Role.JOINER,
                StartupRole.of(true, next, Optional.empty(), blank).role());
        assertEquals(
                StartupRole.Role.JOINER,
                StartupRole.of(false, FOUR, Optional.empty(), blank).role());
        assertEquals(
                StartupRole.Role.RETURNING,
                StartupRole.of(
                                true,
                                ONE,
                                Optional.of(ONE),
                                own(StateLossDetector.VotingStatus.ADMITTED, 9, StateLoss.NONE))
                        .role());
        assertEquals(
                StartupRole.Role.BARRED,
                StartupRole.of(
                                true,
                                ONE,
                                Optional.empty(),
                                own(StateLossDetector.VotingStatus.NEW, 9, StateLoss.NONE))
                        .role());
        for (StateLoss doubt : StateLoss.values()) {
            StartupRole start =
                    StartupRole.of(
                            true,
                            ONE,
                            Optional.of(ONE),
                            own(StateLossDetector.VotingStatus.ADMITTED, 9, doubt));
            assertEquals(doubt == StateLoss.NONE, start.runsVoter());
        }
        StartupRole barred =
                StartupRole.of(
                        true,
                        ONE,
                        Optional.of(ONE),
                        own(StateLossDetector.VotingStatus.SUSPENDED, 9, StateLoss.NONE));
        assertFalse(barred.runsVoter());
        assertEquals("the facts", barred.reason());
        assertEquals(
                "member-folder-of-another",
                assertThrows(
                                MemberException.class,
                                () -> StartupRole.of(true, ONE, Optional.of(TWO), blank))
                        .code());
    }

    @Test
    void standsWhereItsCopyAndItsSessionSay() {
        Membership group = new Membership(List.of(ONE, TWO), List.of(THREE));
        assertEquals(
                MemberStatus.State.VOTER,
                MemberStateEvaluator.of(false, "", "", false, false, ONE, group, 2, true, 90, 10)
                        .state());
        assertEquals(
                MemberStatus.State.VOTER,
                MemberStateEvaluator.of(false, "", "", false, false, ONE, group, 0, true, 20, 10)
                        .state());
        assertEquals(
                MemberStatus.State.BEHIND,
                MemberStateEvaluator.of(false, "", "", false, false, ONE, group, 0, true, 21, 10)
                        .state());
        assertEquals(
                MemberStatus.State.VOTER,
                MemberStateEvaluator.of(false, "", "", false, false, ONE, group, 0, false, 21, 10)
                        .state());
        assertEquals(
                MemberStatus.State.LEARNER,
                MemberStateEvaluator.of(false, "", "", false, false, THREE, group, 2, true, 0, 10)
                        .state());
        assertEquals(
                MemberStatus.State.SPARE,
                MemberStateEvaluator.of(false, "", "", false, false, FOUR, group, 0, true, 99, 10)
                        .state());
        assertEquals(
                MemberStatus.State.ASKING,
                MemberStateEvaluator.of(false, "", "", false, true, ONE, group, 0, true, 99, 10)
                        .state());
        assertEquals(
                MemberStatus.State.REMOVED,
                MemberStateEvaluator.of(false, "", "", true, false, ONE, group, 2, true, 0, 10)
                        .state());
        assertEquals(
                new MemberStateEvaluator(MemberStatus.State.BARRED, "forgot"),
                MemberStateEvaluator.of(
                        false, "", "forgot", true, true, ONE, group, 0, true, 0, 10));
        assertEquals(
                new MemberStateEvaluator(MemberStatus.State.FAILED, "full"),
                MemberStateEvaluator.of(
                        false, "full", "", true, false, ONE, group, 2, true, 0, 10));
        assertEquals(
                MemberStatus.State.STOPPING,
                MemberStateEvaluator.of(true, "full", "", true, false, ONE, group, 2, true, 0, 10)
                        .state());
    }

    @ParameterizedTest
    @CsvSource({
        "voters/4.0/add,1.0 2.0 3.0 4.0",
        "voters/2.0/remove,1.0 3.0",
        "voters/2.0/replace/2.1,1.0 2.1 3.0",
        "voters/1.0/replace/4.0,2.0 3.0 4.0"
    })
    void wishNamesWhoAreToBeVoters(String words, String wanted) {
        MembershipCommand.ChangeVoters wish =
                (MembershipCommand.ChangeVoters)
                        MembershipCommand.parse(words, LEADS).orElseThrow();
        assertEquals(
                wanted,
                String.join(" ", wish.wantedVoters().stream().map(Voter::toString).toList()));
    }

    @Test
    void wishThatCannotBeIsRefusedAtOnce() {
        assertEquals(
                new MembershipCommand.TransferLeadership("lead/2.0", TWO),
                MembershipCommand.parse("lead/2.0", LEADS).orElseThrow());
        for (String none :
                List.of(
                        "",
                        "lead",
                        "lead/2",
                        "voters/2/add",
                        "voters/2.0",
                        "voters/2.0/adds",
                        "voters/99999999.0/add")) {
            assertTrue(MembershipCommand.parse(none, LEADS).isEmpty(), none);
        }
        for (String bad :
                List.of(
                        "voters/2.0/add",
                        "voters/2.1/add",
                        "voters/4.0/remove",
                        "voters/4.0/replace/5.0",
                        "voters/2.0/replace/2.0",
                        "voters/2.0/replace/3.0",
                        "lead/4.0",
                        "lead/1.0")) {
            assertThrows(
                    ClusterException.InvalidVoterChange.class,
                    () -> MembershipCommand.parse(bad, LEADS),
                    bad);
        }
        MemberStatus two =
                signs(MemberStatus.State.VOTER, true, 1, List.of(ONE), 0, 5, LogStatus.State.READY);
        assertThrows(
                ClusterException.InvalidVoterChange.class,
                () -> MembershipCommand.parse("voters/1.0/remove", two));
        MemberStatus follows =
                signs(
                        MemberStatus.State.VOTER,
                        false,
                        2,
                        List.of(ONE, TWO, THREE),
                        0,
                        5,
                        LogStatus.State.READY);
        assertEquals(
                2,
                assertThrows(
                                ClusterException.NotLeader.class,
                                () -> MembershipCommand.parse("voters/4.0/add", follows))
                        .leader());
        assertTrue(MembershipCommand.parse("nonsense", follows).isEmpty());
    }

    /**
     * A group of which steps are lost, refused and late: a wish is done, given up or passed on, and
     * done is never a lie.
     */
    @Test
    void wishesEndWhateverBecomesOfTheirSteps() {
        long seed = new Random().nextLong();
        Random random = new Random(seed);
        int done = 0;
        for (int run = 0; run < 2000; run++) {
            List<Voter> voters = new ArrayList<>(List.of(ONE, TWO, THREE));
            List<Voter> learners = new ArrayList<>();
            MembershipCommandRunner wish =
                    new MembershipCommandRunner(
                            MembershipCommand.parse(
                                            random.nextBoolean()
                                                    ? "voters/2.0/replace/4.0"
                                                    : "voters/3.0/remove",
                                            LEADS)
                                    .orElseThrow(),
                            0,
                            200 * MILLI,
                            60_000 * MILLI);
            List<Voter> wanted = ((MembershipCommand.ChangeVoters) wish.command()).wantedVoters();
            int loses = random.nextInt(3);
            int leader = 1;
            long now = 0;
            for (;
                    !wish.isFinished() && now < 100_000 * MILLI;
                    now += random.nextInt(300) * MILLI) {
                leader = random.nextInt(2000) == 0 ? 2 : leader;
                if (!wish.isDue(
                        now,
                        leader == 1,
                        leader,
                        new Membership(List.copyOf(voters), List.copyOf(learners)))) {
                    continue;
                }
                VoterChangePlan.ChangeVoter step =
                        (VoterChangePlan.ChangeVoter)
                                VoterChangePlan.next(wanted, voters, learners, ONE).orElseThrow();
                switch (loses == 0 ? 0 : random.nextInt(loses + 1)) {
                    case 0 -> {
                        switch (step.change()) {
                            case ADD_LEARNER -> learners.add(step.voter());
                            case PROMOTE -> {
                                learners.remove(step.voter());
                                voters.add(step.voter());
                            }
                            case REMOVE -> voters.remove(step.voter());
                            default -> throw new AssertionError(step);
                        }
                        wish.onStepCompleted("");
                    }
                    case 1 -> wish.onStepCompleted("refused");
                    default -> {}
                }
            }
            assertTrue(wish.isFinished(), "seed " + seed + " run " + run);
            assertTrue(now <= 61_000 * MILLI, "seed " + seed + " run " + run);
            if (wish.progress().endsWith(": done")) {
                done++;
                assertTrue(
                        voters.size() == wanted.size()
                                && voters.containsAll(wanted)
                                && learners.isEmpty(),
                        "seed " + seed);
            } else {
                assertTrue(
                        wish.progress().contains("given up") || leader != 1,
                        "seed " + seed + ": " + wish.progress());
            }
        }
        assertTrue(done > 1000, "seed " + seed + ": " + done);
    }

    /**
     * Whatever waits and whoever leads: it ends in time, closes the session once and first, and
     * leads no more if it can.
     */
    @Test
    void plannedStopEndsInTimeAndInOrder() {
        long seed = new Random().nextLong();
        Random random = new Random(seed);
        for (int run = 0; run < 2000; run++) {
            long now = random.nextLong();
            long began = now;
            PlannedStop stop = new PlannedStop(now, 1500 * MILLI, 50 * MILLI);
            int waiting = random.nextInt(3);
            boolean leads = random.nextBoolean();
            boolean handsOver = random.nextInt(3) > 0;
            List<Integer> others = random.nextInt(5) == 0 ? List.of() : List.of(2, 3);
            int closes = 0;
            int handOvers = 0;
            PlannedStop.Step step = PlannedStop.Step.WAIT;
            while (step != PlannedStop.Step.END) {
                step = stop.next(now, waiting, leads, others);
                if (step == PlannedStop.Step.CLOSE_SESSION) {
                    closes++;
                } else if (step == PlannedStop.Step.TRANSFER_LEADERSHIP) {
                    assertEquals(1, closes, "seed " + seed);
                    assertTrue(others.contains(stop.transferTarget()), "seed " + seed);
                    leads = !handsOver || random.nextInt(3) == 0;
                    handOvers++;
                }
                waiting -= waiting > 0 && random.nextInt(40) == 0 ? 1 : 0;
                now += random.nextInt(10) * MILLI;
            }
            assertTrue(now - began <= 1520 * MILLI, "seed " + seed);
            assertEquals(1, closes, "seed " + seed);
            assertTrue(handOvers <= 8, "seed " + seed);
            assertTrue(
                    !leads
                            || others.isEmpty()
                            || handOvers > 1
                            || handOvers == 1 && !handsOver
                            || now - began > 1400 * MILLI,
                    "seed " + seed + " run " + run);
        }
    }

    @Test
    void changesOfSignsAreToldOnce() {
        assertEquals(List.of(), StatusChangeLogger.of(LEADS, LEADS));
        assertEquals(
                List.of(new StatusChangeLogger.Line(false, "1.0 is voter")),
                StatusChangeLogger.of(null, LEADS));
        MemberStatus alone =
                signs(
                        MemberStatus.State.VOTER,
                        false,
                        0,
                        List.of(ONE, TWO),
                        900,
                        0,
                        LogStatus.State.FULL);
        assertEquals(
                List.of(
                        new StatusChangeLogger.Line(false, "no leader is known, term 7"),
                        new StatusChangeLogger.Line(
                                true,
                                "no quorum was heard for 900 ms: changes wait, the front end serves"
                                        + " on"),
                        new StatusChangeLogger.Line(true, "session 5 is over"),
                        new StatusChangeLogger.Line(false, "voters [1.0, 2.0], learners []"),
                        new StatusChangeLogger.Line(
                                true,
                                "disk is full: "
                                        + new DurableException.DiskFull("here", null)
                                                .getMessage())),
                StatusChangeLogger.of(LEADS, alone));
        assertEquals(
                List.of(
                        new StatusChangeLogger.Line(false, "member 1 leads, term 7"),
                        new StatusChangeLogger.Line(false, "a quorum is heard again"),
                        new StatusChangeLogger.Line(false, "session 5 is open"),
                        new StatusChangeLogger.Line(false, "voters [1.0, 2.0, 3.0], learners []"),
                        new StatusChangeLogger.Line(false, "disk is ready")),
                StatusChangeLogger.of(alone, LEADS));
        assertEquals(
                List.of(new StatusChangeLogger.Line(true, "1.0 is failed: because")),
                StatusChangeLogger.of(
                        LEADS,
                        signs(
                                MemberStatus.State.FAILED,
                                true,
                                1,
                                LEADS.voters(),
                                0,
                                5,
                                LogStatus.State.READY)));
        assertEquals(
                List.of(new StatusChangeLogger.Line(false, "1.0 is down")),
                StatusChangeLogger.of(LEADS, LEADS.withState(MemberStatus.State.DOWN, "")));
        assertEquals(
                List.of(new StatusChangeLogger.Line(true, "1.0 is down: broken")),
                StatusChangeLogger.of(LEADS, LEADS.withState(MemberStatus.State.DOWN, "broken")));
    }

    @Test
    void votersAreKnownByTheSettingsByNameAndByTheCopy() {
        VoterDirectory known = new VoterDirectory(List.of(1, 2, 3));
        assertFalse(known.addLeader(0) || known.addLeader(2));
        assertTrue(known.addLeader(4));
        assertEquals(List.of(1, 2, 3, 4), known.members());
        assertFalse(known.replaceWith(List.of()) || known.replaceWith(List.of(1, 2, 3, 4)));
        assertTrue(known.replaceWith(List.of(2, 3, 4)));
        assertEquals(List.of(2, 3, 4), known.members());
    }

    @Test
    void quorumIsMissedPastTheLimitOnlyAndNeverHeardBackwards() {
        QuorumMonitor watch =
                new QuorumMonitor(Long.MAX_VALUE - MILLI); // The clock may pass its end.
        long now = Long.MAX_VALUE - MILLI + 800 * MILLI;
        assertEquals(0, watch.missingMillis(now, 800 * MILLI));
        assertEquals(801, watch.missingMillis(now + MILLI, 800 * MILLI));
        watch.onQuorumContact(now);
        watch.onQuorumContact(now - 700 * MILLI);
        assertEquals(0, watch.missingMillis(now + 800 * MILLI, 800 * MILLI));
        assertEquals(801, watch.missingMillis(now + 801 * MILLI, 800 * MILLI));
    }
}
