// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import static calicostream.core.Sides.engine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineLifecycle;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What the core promises whatever its two sides and the module do, on a clock that the tests turn.
 */
class GatewayTest {
    private static final RequestOperation OPERATION = new RequestOperation() {};

    private static final ResultStreamHandle STREAM =
            new ResultStreamHandle() {
                @Override
                public String toString() {
                    return "stream";
                }
            };

    private record Status(String text) implements FinalStatus {
        @Override
        public String toString() {
            return text;
        }
    }

    private final Sides sides = new Sides(Sides.TWO_LANES);
    private final Gateway gateway = sides.gateway;
    private final List<Attempt> sent = sides.sent;
    private final List<String> told = sides.told;
    private final List<Request> kept = sides.kept;

    private long ask(int queryClass, long tag, long budgetUs) {
        return gateway.accept(
                IncomingRequest.of(sides, tag, "id" + tag, queryClass, 1, budgetUs, new byte[0]));
    }

    private void pass(long us) {
        sides.pass(us);
    }

    @BeforeEach
    void start() {
        sides.start(7, 8);
    }

    @Test
    void nothingGoesWhereItsTenantHasNoRoom() {
        sides.full.addAll(Set.of(7L, 8L));
        ask(0, 1, 3_000_000);
        assertEquals(List.of(), sent, "held where none has room");
        sides.full.remove(8L);
        pass(100_000);
        assertEquals(List.of(8L), sent.stream().map(attempt -> attempt.engine()).toList());
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OK, null, new TextResult(new byte[0]));
        assertEquals(List.of("8 OK"), sides.overs);
    }

    @Test
    void whatIsKeptBeforeTheModuleIsAdmittedTurnedAwayOrOver() {
        sides.keeps = true;
        long given = ask(0, 1, 500_000);
        ask(0, 2, 500_000);
        ask(0, 3, 500_000);
        assertEquals(List.of(), sent);
        gateway.admit(kept.get(1));
        assertEquals(1, sent.size());
        gateway.reject(kept.get(2), 40_000);
        gateway.abandon(given);
        assertTrue(kept.get(0).isAnswered());
        gateway.admit(kept.get(0));
        gateway.reject(kept.get(1), 40_000);
        assertEquals(1, sent.size());
        assertEquals(List.of("refused 3"), told);
        ask(0, 4, 500_000);
        pass(600_000);
        assertTrue(told.contains("refused 4"), "never taken up: trying again is harmless, " + told);
    }

    @Test
    void lateAndSecondEndsAreIgnored() {
        ask(0, 1, 4_000_000);
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OK, null, new TextResult("a".getBytes()));
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OK, null, new TextResult("b".getBytes()));
        gateway.attemptEnded(sent.get(0), AttemptOutcome.RESET, null, null);
        pass(5_000_000);
        assertEquals(List.of("served 1 a"), told);
        assertEquals(0, gateway.openRequests());
    }

    @Test
    void anEndInsideASendDoesNotReenterTheModule() {
        sides.atOnce = AttemptOutcome.CONNECT_FAILED;
        ask(1, 1, 20_000_000);
        pass(21_000_000);
        assertTrue(sent.size() <= 3, sent.size() + " attempts");
        assertEquals(
                1,
                told.stream().filter(t -> t.matches("(served|refused|failed) 1.*")).count(),
                told.toString());
    }

    @Test
    void aLoadThatMayHaveRunIsNeitherSentAgainNorRefused() {
        ask(1, 1, 20_000_000);
        gateway.attemptEnded(sent.get(0), AttemptOutcome.RESET, null, null);
        gateway.startAttempt(sent.get(0).request().handle(), 8, 0);
        pass(21_000_000);
        assertEquals(1, sent.size());
        assertEquals(List.of("failed 1 ENGINE"), told);
    }

    @Test
    void aStreamThatHasBegunIsNeverTriedAgainAndHasNoDeadline() {
        gateway.accept(IncomingRequest.of(sides, 1, "a", 0, 1, 4_000_000, new byte[0]));
        gateway.streamBegan(sent.get(0), STREAM);
        pass(60_000_000);
        assertEquals(List.of("begun 1 stream"), told, "no deadline of ours ends it");
        gateway.attemptEnded(sent.get(0), AttemptOutcome.RESET, null, null);
        pass(10_000_000);
        assertEquals(List.of("begun 1 stream", "failed 1 STREAM_BROKEN"), told);
        assertEquals(1, sent.size());
        gateway.accept(IncomingRequest.of(sides, 2, "b", 0, 1, 4_000_000, new byte[0]));
        gateway.streamBegan(sent.get(1), STREAM);
        gateway.attemptEnded(sent.get(1), AttemptOutcome.OK, null, null);
        assertEquals("whole 2", told.get(3));
        assertEquals(0, gateway.openRequests());
    }

    /** What says nothing of its engine ends the request, and the engine is used on as before. */
    @Test
    void aFinalWordOnTheRequestIsNoFaultOfItsEngine() {
        for (int i = 0; i < 20; i++) {
            gateway.accept(IncomingRequest.of(sides, i, "a", 0, 1, 4_000_000, new byte[0]));
            gateway.attemptConcluded(sent.get(i), null, new Status("too long"));
            assertEquals("concluded " + i + " too long", told.get(i));
            assertEquals(sent.get(0).engine(), sent.get(i).engine());
        }
        assertEquals(20, sent.size());
        assertEquals(0, gateway.excludedEngines());
        assertFalse(
                gateway.attemptEnded(
                        sent.get(0), AttemptOutcome.OK, null, new TextResult(new byte[0])),
                "the one end was told");
    }

    @Test
    void aPinnedRequestIsNeitherTriedElsewhereNorRefusedOnceItMayHaveRun() {
        for (long pin : new long[] {7, 8}) {
            gateway.accept(
                    IncomingRequest.of(sides, pin, "a", 0, 1, 4_000_000, new byte[0])
                            .withOperation(OPERATION, pin));
            assertEquals(pin, sent.get(sent.size() - 1).engine());
            assertTrue(sent.get(sent.size() - 1).request().isNonIdempotent());
            gateway.attemptEnded(sent.get(sent.size() - 1), AttemptOutcome.ERROR, null, null);
        }
        pass(5_000_000);
        assertEquals(List.of("failed 7 ENGINE", "failed 8 ENGINE"), told);
        assertEquals(2, sent.size());
    }

    /**
     * The next attempt goes by another connection, and must not overtake the word that calls the
     * first one off.
     */
    @Test
    void anAttemptCalledOffCountsAsOutUntilItsEngineHasHeard() {
        long handle = ask(0, 1, 4_000_000);
        gateway.cancelAttempt(handle, 0);
        gateway.attemptEnded(sent.get(0), AttemptOutcome.CANCELLED, null, null);
        gateway.streamBegan(
                sent.get(0),
                STREAM); // On its way when it was called off: the client must not see any of it.
        gateway.startAttempt(handle, 8, 0);
        pass(Gateway.CANCEL_DELIVERY_MICROS - 1);
        assertEquals(1, sent.size(), "neither by the module nor in spite of it");
        pass(1);
        assertEquals(2, sent.size());
        gateway.cancelAttempt(handle, sent.get(1).number());
        gateway.abandon(handle);
        assertEquals(0, gateway.openRequests(), "a final end waits for nothing");
        pass(1_000_000);
        assertEquals(2, sent.size());
        assertEquals(
                List.of("stop 0", "stop " + sent.get(1).number(), "stop " + sent.get(1).number()),
                told);
    }

    /** A process that ends owes an answer to what it has in hand, whatever its deadline. */
    @Test
    void givingUpAllRefusesWhatMayBeAskedAgainAndFailsWhatMayHaveRun() {
        ask(0, 1, 4_000_000);
        ask(1, 2, 20_000_000);
        gateway.terminateAll();
        assertEquals(List.of("stop 0", "refused 1", "stop 0", "failed 2 ENGINE"), told);
        assertEquals(0, gateway.openRequests());
        pass(21_000_000);
        assertEquals(4, told.size(), told.toString());
    }

    /**
     * Engines of one cell know a repeat of theirs; a client that is told to ask again may come to
     * any.
     */
    @Test
    void givingUpAllRefusesARepeatByKeyOnlyWhereAllEnginesKnowIt() {
        for (String scope : new String[] {"all", "cell"}) {
            Sides keyed =
                    new Sides(
                            Sides.TWO_LANES.replace(
                                    "lanes.0.effect=repeatable",
                                    "lanes.0.effect=by_key\nlanes.0.key_scope="
                                            + scope
                                            + "\nlanes.0.window_us=500000"));
            keyed.start(7, 8);
            keyed.gateway.accept(IncomingRequest.of(keyed, 1, "id1", 0, 1, 4_000_000, new byte[0]));
            assertEquals(1, keyed.sent.size());
            keyed.gateway.terminateAll();
            assertEquals(
                    List.of("stop 0", scope.equals("all") ? "refused 1" : "failed 1 ENGINE"),
                    keyed.told);
        }
    }

    /**
     * The module's own clock of the window and the core's agree; whoever asks later is not heard.
     */
    @Test
    void noRepeatByKeyIsSentAfterItsWindow() {
        Sides keyed =
                new Sides(
                        Sides.TWO_LANES.replace(
                                "lanes.0.effect=repeatable",
                                "lanes.0.effect=by_key\n"
                                        + "lanes.0.key_scope=all\n"
                                        + "lanes.0.window_us=500000"));
        keyed.start(7, 8);
        long handle =
                keyed.gateway.accept(
                        IncomingRequest.of(keyed, 1, "id1", 0, 1, 4_000_000, new byte[0]));
        keyed.pass(400_000);
        keyed.full.addAll(Set.of(7L, 8L));
        keyed.gateway.attemptEnded(keyed.sent.get(0), AttemptOutcome.RESET, null, null);
        assertEquals(1, keyed.sent.size(), "held, as none has room");
        keyed.pass(100_000);
        keyed.full.clear();
        keyed.gateway.startAttempt(handle, 8, 0);
        keyed.pass(4_000_000);
        assertEquals(1, keyed.sent.size());
        assertEquals(1, keyed.told.size(), keyed.told.toString());
    }

    /**
     * What ends makes room, and what waits must not go there in the last moment: a load would then
     * have failed for nothing.
     */
    @Test
    void givingUpAllSendsNothingMore() {
        ask(0, 1, 4_000_000);
        sides.full.addAll(Set.of(7L, 8L));
        ask(1, 2, 20_000_000);
        assertEquals(1, sent.size());
        sides.full.clear();
        gateway.terminateAll();
        assertEquals(1, sent.size());
        assertEquals(List.of("refused 2", "stop 0", "refused 1"), told);
    }

    /** What a client has said or done may still be unread when its request is sent. */
    @Test
    void nothingIsSentForAClientThatHasLeft() {
        sides.full.addAll(Set.of(7L, 8L));
        ask(0, 1, 4_000_000);
        ask(1, 2, 4_000_000);
        sides.left.add(1L);
        sides.full.clear();
        pass(100_000);
        assertEquals(List.of(2L), sent.stream().map(attempt -> attempt.request().tag()).toList());
        sides.left.add(2L);
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OVERLOADED, null, null);
        pass(5_000_000);
        assertEquals(1, sent.size());
        assertEquals(0, gateway.openRequests());
        assertEquals(List.of(), told, "nobody waits for an answer");
    }

    /**
     * What waits for a connection when an operator takes the engine out ends there, and goes
     * elsewhere.
     */
    @Test
    void anEngineIsUsedOnlyWhereNeitherTheListNorAnOperatorForbidsIt() {
        pass(2_100_000); // A gateway that has just started sends cold engines nothing.
        gateway.disable(7);
        assertEquals(List.of("draining 7"), told);
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL,
                List.of(engine(7, EngineLifecycle.DRAINING), engine(8, EngineLifecycle.DRAINING)));
        gateway.enable(7, sides.time);
        ask(0, 1, 4_000_000);
        assertEquals(List.of(), sent, "the list still forbids it");
        gateway.disable(7);
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL, List.of(engine(7, EngineLifecycle.READY)));
        pass(10_000);
        assertEquals(List.of(), sent, "an operator forbids it");
        assertEquals(2, gateway.listedEngines());
        assertEquals(1, gateway.excludedEngines());
        gateway.enable(7, sides.time);
        assertEquals(7, sent.get(0).engine());
        assertFalse(gateway.isKnownEngine(9), "nobody has this id");
    }

    /** Looks up every 50 ms for so long; how often the engine that is down was sent to. */
    private int sentToDown(long us, Runnable each) {
        int before = sent.size();
        for (long end = sides.time + us; sides.time < end; pass(50_000)) {
            each.run();
            ask(0, sides.time, 1_000_000);
            while (sent.size() > ended) {
                Attempt attempt = sent.get(ended++);
                gateway.attemptEnded(
                        attempt,
                        attempt.engine() == down
                                ? AttemptOutcome.CONNECT_FAILED
                                : AttemptOutcome.OK,
                        null,
                        new TextResult(new byte[0]));
            }
        }
        return (int)
                sent.subList(before, sent.size()).stream()
                        .filter(attempt -> attempt.engine() == home)
                        .count();
    }

    private int ended;
    private long down;
    private long home;

    @Test
    void anotherFrontEndsTrialsPutOffOnesOwnAndItsAnswerBringsThemOn() {
        gateway.endpointsChanged(
                EndpointUpdate.COMPLETE,
                List.of(
                        engine(7, EngineLifecycle.READY),
                        engine(8, EngineLifecycle.READY),
                        engine(9, EngineLifecycle.READY)));
        sentToDown(1_000_000, () -> {});
        home = down = sent.get(0).engine();
        assertTrue(sentToDown(30_000_000, () -> {}) >= 3, "without hints it tries for itself");
        assertEquals(List.of(down), Arrays.stream(gateway.readyEngines(true)).boxed().toList());
        assertEquals(2, gateway.readyEngines(false).length);
        gateway.applyEjectionHint(down, false);
        assertEquals(0, sentToDown(30_000_000, () -> gateway.applyEjectionHint(down, false)));
        assertTrue(
                sentToDown(9_000_000, () -> {}) >= 1,
                "the hints have ended, and it tries for itself");
        gateway.applyEjectionHint(down, true);
        down = 0;
        assertTrue(sentToDown(500_000, () -> {}) >= 1, "it is owed a query");
        assertEquals(0, gateway.readyEngines(true).length);
        gateway.applyEjectionHint(7, false);
        gateway.applyEjectionHint(8, false);
        assertEquals(0, gateway.readyEngines(true).length, "a hint benches nothing");
    }

    @Test
    void theModuleCannotSendTwiceAtOnceOrRefuseARunningLoad() {
        long handle = ask(1, 1, 20_000_000);
        gateway.startAttempt(handle, 8, 0);
        assertEquals(1, sent.size());
        gateway.reject(handle, 0);
        assertEquals(List.of("stop 0", "failed 1 ENGINE"), told);
    }

    @Test
    void anAbandonedRequestGetsNoAnswerAndFreesTheEngine() {
        gateway.abandon(ask(0, 1, 4_000_000));
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OK, null, new TextResult("a".getBytes()));
        pass(5_000_000);
        assertEquals(List.of("stop 0"), told);
    }

    @Test
    void theDeadlineIsAnsweredInTime() {
        ask(0, 1, 600_000);
        pass(600_000);
        assertEquals(List.of("stop 0", "failed 1 DEADLINE"), told.stream().limit(2).toList());
        pass(5_000_000);
        assertEquals(2, told.size());
    }

    @Test
    void nothingIsSentToAnEngineThatDrains() {
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL, List.of(engine(7, EngineLifecycle.DRAINING)));
        assertEquals(List.of("draining 7"), told);
        for (int i = 1; i <= 10; i++) {
            ask(0, i, 4_000_000);
        }
        assertTrue(sent.stream().allMatch(a -> a.engine() == 8));
        long handle = sent.get(0).request().handle();
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OVERLOADED, null, null);
        int before = sent.size();
        gateway.startAttempt(handle, 7, 0);
        assertEquals(before, sent.size());
    }

    @Test
    void handlesOfPastEntriesFindNothing() {
        SlotTable<String> slots = new SlotTable<>();
        long first = slots.add("a");
        slots.remove(first);
        long second = slots.add("b");
        assertNull(slots.get(first));
        assertNull(slots.remove(first));
        assertEquals("b", slots.get(second));
        assertFalse(first == second);
    }

    @Test
    void deadlinesComeInOrderAndEqualOnesAsMade() {
        Deadlines heap = new Deadlines();
        List<Long> seen = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            heap.add(i * 7919L % 100, (now, ref) -> seen.add(ref), i * 7919L % 100 * 1000 + i);
        }
        heap.run(1000);
        assertEquals(seen.stream().sorted().toList(), seen);
        assertEquals(1000, seen.size());
    }
}
