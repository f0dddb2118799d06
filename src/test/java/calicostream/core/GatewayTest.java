// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.routing.AttemptOutcome;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The promises that the gateway keeps whatever router, engine client and response handler do. */
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

    private final GatewayHarness harness = new GatewayHarness(GatewayHarness.TWO_CLASSES);
    private final Gateway gateway = harness.gateway;
    private final List<Attempt> sent = harness.sent;
    private final List<String> notifications = harness.notifications;
    private final List<Request> keptRequests = harness.keptRequests;

    private long accept(int queryClass, long tag, long budgetUs) {
        return gateway.accept(
                IncomingRequest.of(harness, tag, "id" + tag, queryClass, 1, budgetUs, new byte[0]));
    }

    private void advance(long us) {
        harness.advance(us);
    }

    @BeforeEach
    void start() {
        harness.start(7, 8);
    }

    @Test
    void nothingIsSentWhereItsTenantHasNoCapacity() {
        harness.enginesWithoutCapacity.addAll(Set.of(7L, 8L));
        accept(0, 1, 3_000_000);
        assertEquals(List.of(), sent, "queued where no engine has capacity");
        harness.enginesWithoutCapacity.remove(8L);
        advance(100_000);
        assertEquals(List.of(8L), sent.stream().map(attempt -> attempt.engine()).toList());
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OK, null, new TextResult(new byte[0]));
        assertEquals(List.of("8 OK"), harness.endedAttempts);
    }

    @Test
    void requestsKeptByTheEngineClientAreAdmittedRejectedOrAnswered() {
        harness.keepsRequests = true;
        long given = accept(0, 1, 500_000);
        accept(0, 2, 500_000);
        accept(0, 3, 500_000);
        assertEquals(List.of(), sent);
        gateway.admit(keptRequests.get(1));
        assertEquals(1, sent.size());
        gateway.reject(keptRequests.get(2), 40_000);
        gateway.abandon(given);
        assertTrue(keptRequests.get(0).isAnswered());
        gateway.admit(keptRequests.get(0));
        gateway.reject(keptRequests.get(1), 40_000);
        assertEquals(1, sent.size());
        assertEquals(List.of("rejected 3"), notifications);
        accept(0, 4, 500_000);
        advance(600_000);
        assertTrue(
                notifications.contains("rejected 4"),
                "never routed: safe to send again, " + notifications);
    }

    @Test
    void lateAndSecondEndsAreIgnored() {
        accept(0, 1, 4_000_000);
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OK, null, new TextResult("a".getBytes()));
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OK, null, new TextResult("b".getBytes()));
        gateway.attemptEnded(sent.get(0), AttemptOutcome.RESET, null, null);
        advance(5_000_000);
        assertEquals(List.of("served 1 a"), notifications);
        assertEquals(0, gateway.openRequests());
    }

    @Test
    void endInsideSendDoesNotReenterTheRouter() {
        harness.immediateOutcome = AttemptOutcome.CONNECT_FAILED;
        accept(1, 1, 20_000_000);
        advance(21_000_000);
        assertTrue(sent.size() <= 3, sent.size() + " attempts");
        assertEquals(
                1,
                notifications.stream()
                        .filter(t -> t.matches("(served|rejected|failed) 1.*"))
                        .count(),
                notifications.toString());
    }

    @Test
    void loadThatMayHaveRunIsNeitherRetriedNorRejected() {
        accept(1, 1, 20_000_000);
        gateway.attemptEnded(sent.get(0), AttemptOutcome.RESET, null, null);
        gateway.startAttempt(sent.get(0).request().handle(), 8, 0);
        advance(21_000_000);
        assertEquals(1, sent.size());
        assertEquals(List.of("failed 1 ENGINE"), notifications);
    }

    @Test
    void streamThatHasBegunIsNeverRetriedAndHasNoDeadline() {
        gateway.accept(IncomingRequest.of(harness, 1, "a", 0, 1, 4_000_000, new byte[0]));
        gateway.streamBegan(sent.get(0), STREAM);
        advance(60_000_000);
        assertEquals(
                List.of("streaming 1 stream"), notifications, "no deadline of the gateway ends it");
        gateway.attemptEnded(sent.get(0), AttemptOutcome.RESET, null, null);
        advance(10_000_000);
        assertEquals(List.of("streaming 1 stream", "failed 1 STREAM_BROKEN"), notifications);
        assertEquals(1, sent.size());
        gateway.accept(IncomingRequest.of(harness, 2, "b", 0, 1, 4_000_000, new byte[0]));
        gateway.streamBegan(sent.get(1), STREAM);
        gateway.attemptEnded(sent.get(1), AttemptOutcome.OK, null, null);
        assertEquals("completed 2", notifications.get(3));
        assertEquals(0, gateway.openRequests());
    }

    /** A final status ends the request, and the engine is used as before. */
    @Test
    void finalStatusOfTheRequestIsNoFaultOfItsEngine() {
        for (int i = 0; i < 20; i++) {
            gateway.accept(IncomingRequest.of(harness, i, "a", 0, 1, 4_000_000, new byte[0]));
            gateway.attemptConcluded(sent.get(i), null, new Status("too long"));
            assertEquals("concluded " + i + " too long", notifications.get(i));
            assertEquals(sent.get(0).engine(), sent.get(i).engine());
        }
        assertEquals(20, sent.size());
        assertEquals(0, gateway.excludedEngines());
        assertFalse(
                gateway.attemptEnded(
                        sent.get(0), AttemptOutcome.OK, null, new TextResult(new byte[0])),
                "the one end was reported");
    }

    @Test
    void stickyRequestIsNeitherRetriedElsewhereNorRejectedOnceItMayHaveRun() {
        for (long pin : new long[] {7, 8}) {
            gateway.accept(
                    IncomingRequest.of(harness, pin, "a", 0, 1, 4_000_000, new byte[0])
                            .withOperation(OPERATION, pin));
            assertEquals(pin, sent.get(sent.size() - 1).engine());
            assertTrue(sent.get(sent.size() - 1).request().isNonIdempotent());
            gateway.attemptEnded(sent.get(sent.size() - 1), AttemptOutcome.ERROR, null, null);
        }
        advance(5_000_000);
        assertEquals(List.of("failed 7 ENGINE", "failed 8 ENGINE"), notifications);
        assertEquals(2, sent.size());
    }

    /**
     * The next attempt goes by another connection, and must not overtake the cancellation of the
     * first one.
     */
    @Test
    void cancelledAttemptIsInFlightUntilTheCancellationIsDelivered() {
        long handle = accept(0, 1, 4_000_000);
        gateway.cancelAttempt(handle, 0);
        gateway.attemptEnded(sent.get(0), AttemptOutcome.CANCELLED, null, null);
        // On its way when the attempt was cancelled: the client must not see any of it.
        gateway.streamBegan(sent.get(0), STREAM);
        gateway.startAttempt(handle, 8, 0);
        advance(Gateway.CANCEL_DELIVERY_MICROS - 1);
        assertEquals(1, sent.size(), "neither by the router nor in spite of it");
        advance(1);
        assertEquals(2, sent.size());
        gateway.cancelAttempt(handle, sent.get(1).number());
        gateway.abandon(handle);
        assertEquals(0, gateway.openRequests(), "a final answer waits for nothing");
        advance(1_000_000);
        assertEquals(2, sent.size());
        assertEquals(
                List.of("stop 0", "stop " + sent.get(1).number(), "stop " + sent.get(1).number()),
                notifications);
    }

    /** A process that ends owes an answer to each open request, whatever its deadline. */
    @Test
    void terminateAllRejectsWhatIsSafeToRetryAndFailsWhatMayHaveRun() {
        accept(0, 1, 4_000_000);
        accept(1, 2, 20_000_000);
        gateway.terminateAll();
        assertEquals(List.of("stop 0", "rejected 1", "stop 0", "failed 2 ENGINE"), notifications);
        assertEquals(0, gateway.openRequests());
        advance(21_000_000);
        assertEquals(4, notifications.size(), notifications.toString());
    }

    /**
     * The engines of one cell know the keys used there; a client that is rejected may come to any
     * cell.
     */
    @Test
    void terminateAllRejectsIdempotentWithKeyOnlyWhereAllEnginesKnowTheKey() {
        for (String scope : new String[] {"all", "cell"}) {
            GatewayHarness keyed =
                    new GatewayHarness(
                            GatewayHarness.TWO_CLASSES.replace(
                                    "lanes.0.effect=repeatable",
                                    "lanes.0.effect=by_key\nlanes.0.key_scope="
                                            + scope
                                            + "\nlanes.0.window_us=500000"));
            keyed.start(7, 8);
            keyed.gateway.accept(IncomingRequest.of(keyed, 1, "id1", 0, 1, 4_000_000, new byte[0]));
            assertEquals(1, keyed.sent.size());
            keyed.gateway.terminateAll();
            assertEquals(
                    List.of("stop 0", scope.equals("all") ? "rejected 1" : "failed 1 ENGINE"),
                    keyed.notifications);
        }
    }

    /**
     * The router and the gateway agree on the retry window; an attempt asked for later is refused.
     */
    @Test
    void noRetryWithKeyIsSentAfterItsWindow() {
        GatewayHarness keyed =
                new GatewayHarness(
                        GatewayHarness.TWO_CLASSES.replace(
                                "lanes.0.effect=repeatable",
                                "lanes.0.effect=by_key\n"
                                        + "lanes.0.key_scope=all\n"
                                        + "lanes.0.window_us=500000"));
        keyed.start(7, 8);
        long handle =
                keyed.gateway.accept(
                        IncomingRequest.of(keyed, 1, "id1", 0, 1, 4_000_000, new byte[0]));
        keyed.advance(400_000);
        keyed.enginesWithoutCapacity.addAll(Set.of(7L, 8L));
        keyed.gateway.attemptEnded(keyed.sent.get(0), AttemptOutcome.RESET, null, null);
        assertEquals(1, keyed.sent.size(), "queued, as no engine has capacity");
        keyed.advance(100_000);
        keyed.enginesWithoutCapacity.clear();
        keyed.gateway.startAttempt(handle, 8, 0);
        keyed.advance(4_000_000);
        assertEquals(1, keyed.sent.size());
        assertEquals(1, keyed.notifications.size(), keyed.notifications.toString());
    }

    /**
     * The end of an attempt frees capacity, and no queued request may use it in the last moment: a
     * load would then have failed for nothing.
     */
    @Test
    void terminateAllSendsNothingMore() {
        accept(0, 1, 4_000_000);
        harness.enginesWithoutCapacity.addAll(Set.of(7L, 8L));
        accept(1, 2, 20_000_000);
        assertEquals(1, sent.size());
        harness.enginesWithoutCapacity.clear();
        gateway.terminateAll();
        assertEquals(1, sent.size());
        assertEquals(List.of("rejected 2", "stop 0", "rejected 1"), notifications);
    }

    /** What a client has sent may still be unread when an attempt of its request is due. */
    @Test
    void nothingIsSentForAClientThatIsGone() {
        harness.enginesWithoutCapacity.addAll(Set.of(7L, 8L));
        accept(0, 1, 4_000_000);
        accept(1, 2, 4_000_000);
        harness.goneClients.add(1L);
        harness.enginesWithoutCapacity.clear();
        advance(100_000);
        assertEquals(List.of(2L), sent.stream().map(attempt -> attempt.request().tag()).toList());
        harness.goneClients.add(2L);
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OVERLOADED, null, null);
        advance(5_000_000);
        assertEquals(1, sent.size());
        assertEquals(0, gateway.openRequests());
        assertEquals(List.of(), notifications, "no client waits for an answer");
    }

    @Test
    void routerCannotSendTwiceAtOnceOrRejectARunningLoad() {
        long handle = accept(1, 1, 20_000_000);
        gateway.startAttempt(handle, 8, 0);
        assertEquals(1, sent.size());
        gateway.reject(handle, 0);
        assertEquals(List.of("stop 0", "failed 1 ENGINE"), notifications);
    }

    @Test
    void abandonedRequestGetsNoAnswerAndFreesTheEngine() {
        gateway.abandon(accept(0, 1, 4_000_000));
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OK, null, new TextResult("a".getBytes()));
        advance(5_000_000);
        assertEquals(List.of("stop 0"), notifications);
    }

    @Test
    void deadlineIsAnsweredInTime() {
        accept(0, 1, 600_000);
        advance(600_000);
        assertEquals(
                List.of("stop 0", "failed 1 DEADLINE"), notifications.stream().limit(2).toList());
        advance(5_000_000);
        assertEquals(2, notifications.size());
    }
}
