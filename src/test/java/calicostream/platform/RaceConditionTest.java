// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import static calicostream.platform.JsonRpcServerHarness.IDEMPOTENT_CLASS;
import static calicostream.platform.JsonRpcServerHarness.KEYED_CLASS;
import static calicostream.platform.JsonRpcServerHarness.NON_IDEMPOTENT_CLASS;
import static calicostream.platform.JsonRpcServerHarness.cancellation;
import static calicostream.platform.JsonRpcServerHarness.request;
import static calicostream.platform.JsonRpcServerHarness.requestId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.platform.JsonRpcServerHarness.RecordingResponseHandler;
import calicostream.platform.JsonRpcServerHarness.TestClient;
import calicostream.routing.EngineLifecycle;
import calicostream.wire.FakeRespEngine;
import calicostream.wire.SocketTable;
import calicostream.wire.UnacceptingServer;
import java.net.ConnectException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Race conditions on real connections: each test produces two events in the harmful order, on every
 * run. {@code docs/design/race-conditions.md} lists them.
 */
class RaceConditionTest {
    private static final long ENGINE_ID = 1;
    private static final long OTHER_ENGINE_ID = 2;
    private JsonRpcServerHarness harness;
    private FakeRespEngine engine;

    @BeforeEach
    void start() throws Exception {
        harness = new JsonRpcServerHarness();
        engine = new FakeRespEngine();
    }

    @AfterEach
    void stop() throws Exception {
        harness.close();
        engine.close();
    }

    /**
     * Adds an engine and opens a connection to it, so that a request is sent in the iteration in
     * which it is accepted.
     */
    private void addEngineWithIdleConnection(TestClient client) throws Exception {
        addEngineWithIdleConnection(client, JsonRpcServerHarness.LARGE_ENGINE_KIND);
    }

    private void addEngineWithIdleConnection(TestClient client, int kind) throws Exception {
        harness.addEngine(ENGINE_ID, kind, engine.address());
        assertRequestServed(client, 900);
    }

    /** Adds an engine and fills it with two requests; returns the handle of one of them. */
    private long fillEngine(TestClient client) throws Exception {
        addEngineWithIdleConnection(client, JsonRpcServerHarness.SMALL_ENGINE_KIND);
        RecordingResponseHandler handler = new RecordingResponseHandler();
        long handle =
                harness.runOnLoop(
                        () -> {
                            harness.acceptRequest(handler, IDEMPOTENT_CLASS, 802);
                            return harness.acceptRequest(handler, IDEMPOTENT_CLASS, 801);
                        });
        acknowledgeTwoRequests();
        return handle;
    }

    /**
     * Receives two requests and sends progress for each. A connection that has received nothing
     * since a request would not be reused after the request's cancellation.
     */
    private void acknowledgeTwoRequests() throws Exception {
        for (int i = 0; i < 2; i++) {
            String[] commandParts = engine.command().split("\\|");
            assertEquals("REQ", commandParts[0]);
            engine.answer(commandParts[1] + "|TELL|-|");
            engine.awaitRead(commandParts[1]);
        }
        harness.runOnLoop(() -> null);
    }

    private void assertRequestServed(TestClient client, int number) throws Exception {
        client.send(request("lookup", number));
        assertServed(client, number);
    }

    private void assertServed(TestClient client, int number) throws Exception {
        assertTrue(
                engine.command().startsWith("REQ|" + requestId(number)),
                "the first request sent must be " + number);
        engine.answer(requestId(number) + "|DONE|sheets=1|row\n");
        assertTrue(
                client.readLine()
                        .startsWith("{\"jsonrpc\":\"2.0\",\"id\":" + number + ",\"result\""));
    }

    // Clients that close or cancel

    /**
     * A slot of the engine becomes free in the iteration in which the client's close or reset is
     * still unread.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void queuedRequestIsNotSentAfterClientClosed(boolean reset) throws Exception {
        TestClient leavingClient = harness.connect();
        TestClient otherClient = harness.connect();
        long firstHandle = fillEngine(otherClient);
        leavingClient.send(request("lookup", 1));
        harness.awaitOpenRequests(3);
        harness.runOnLoop(
                () -> {
                    if (reset) {
                        leavingClient.resetAndAwaitArrival();
                    } else {
                        leavingClient.closeAndAwaitArrival();
                    }
                    harness.gateway.abandon(firstHandle);
                    return null;
                });
        assertEquals("STOP|" + requestId(801), engine.command());
        harness.awaitOpenRequests(1);
        assertRequestServed(otherClient, 901);
    }

    /** As above with a cancellation; the connection stays open and is served. */
    @Test
    void queuedRequestIsNotSentAfterCancellation() throws Exception {
        TestClient client = harness.connect();
        long firstHandle = fillEngine(client);
        client.send(request("lookup", 901));
        client.send(request("lookup", 902));
        harness.awaitOpenRequests(4);
        harness.runOnLoop(
                () -> {
                    client.sendAndAwaitArrival(cancellation(901));
                    harness.gateway.abandon(firstHandle);
                    return null;
                });
        assertEquals("STOP|" + requestId(801), engine.command());
        assertServed(client, 902);
        harness.awaitOpenRequests(1);
        assertRequestServed(client, 903);
    }

    /**
     * The cancellation follows its request in the same write, so the request is processed first.
     */
    @Test
    void requestIsNotSentIfCancelledInSameWrite() throws Exception {
        TestClient client = harness.connect();
        addEngineWithIdleConnection(client);
        client.send(request("lookup", 901) + cancellation(901) + request("lookup", 902));
        assertServed(client, 902);
    }

    /** The client sends many requests and closes before the first of them is processed. */
    @Test
    void pipelinedRequestsAreNotSentAfterClientClosed() throws Exception {
        TestClient leavingClient = harness.connect();
        TestClient otherClient = harness.connect();
        addEngineWithIdleConnection(otherClient);
        harness.runOnLoop(
                () -> {
                    StringBuilder lines = new StringBuilder();
                    for (int i = 1; i <= 30; i++) {
                        lines.append(request("lookup", i));
                    }
                    leavingClient.sendAndAwaitArrival(lines.toString());
                    leavingClient.closeAndAwaitArrival();
                    return null;
                });
        assertRequestServed(otherClient, 901);
        harness.awaitOpenRequests(0);
    }

    /** Each cancelled request frees a slot that a queued request of the same client could take. */
    @Test
    void queuedRequestsOfClosedClientAreNotSent() throws Exception {
        TestClient leavingClient = harness.connect();
        TestClient otherClient = harness.connect();
        addEngineWithIdleConnection(otherClient, JsonRpcServerHarness.SMALL_ENGINE_KIND);
        leavingClient.send(
                request("lookup", 1)
                        + request("lookup", 2)
                        + request("lookup", 3)
                        + request("lookup", 4));
        acknowledgeTwoRequests();
        harness.awaitOpenRequests(4);
        leavingClient.socket.close();
        harness.awaitOpenRequests(0);
        assertTrue(engine.command().startsWith("STOP|"));
        assertTrue(engine.command().startsWith("STOP|"));
        assertRequestServed(otherClient, 901);
    }

    @Test
    void retryIsNotSentAfterClientIsGone() throws Exception {
        try (FakeRespEngine otherEngine = new FakeRespEngine()) {
            RecordingResponseHandler handler = new RecordingResponseHandler();
            harness.addEngine(ENGINE_ID, engine.address());
            harness.runOnLoop(
                    () -> {
                        harness.acceptRequest(handler, IDEMPOTENT_CLASS, 1);
                        return null;
                    });
            assertTrue(engine.command().startsWith("REQ|" + requestId(1)));
            harness.addEngine(OTHER_ENGINE_ID, otherEngine.address());
            handler.clientGone = true;
            engine.answer(requestId(1) + "|WAIT|-|");
            harness.awaitOpenRequests(0);
            handler.clientGone = false;
            harness.runOnLoop(
                    () -> {
                        harness.updateEndpoint(
                                ENGINE_ID,
                                JsonRpcServerHarness.LARGE_ENGINE_KIND,
                                engine.address(),
                                EngineLifecycle.DRAINING);
                        harness.acceptRequest(handler, IDEMPOTENT_CLASS, 2);
                        return null;
                    });
            assertTrue(
                    otherEngine.command().startsWith("REQ|" + requestId(2)),
                    "the first request sent to the other engine");
        }
    }

    /** The rejection counted as a proof that the load had not run, and another engine got it. */
    @ParameterizedTest
    @ValueSource(strings = {"WAIT", "PAST"})
    void loadIsNotSentAgainAfterEngineRejectsWhatItHasAnswered(String rejection) throws Exception {
        try (FakeRespEngine otherEngine = new FakeRespEngine()) {
            RecordingResponseHandler handler = new RecordingResponseHandler();
            harness.addEngine(ENGINE_ID, engine.address());
            harness.runOnLoop(
                    () -> {
                        harness.acceptRequest(handler, NON_IDEMPOTENT_CLASS, 1);
                        return null;
                    });
            assertTrue(engine.command().startsWith("REQ|" + requestId(1)));
            harness.addEngine(OTHER_ENGINE_ID, otherEngine.address());
            engine.answer(requestId(1) + "|DONE|sheets=2|row\n");
            engine.answer(requestId(1) + "|" + rejection + "|-|");
            assertEquals("failed", handler.awaitOutcome());
            assertEquals(0, otherEngine.connections(), "no other engine is asked");
        }
    }

    /** The client leaves while its request waits for a slow connect to the engine. */
    @Test
    void connectDoesNotSendRequestOfGoneClient() throws Exception {
        try (UnacceptingServer unacceptingServer = new UnacceptingServer()) {
            RecordingResponseHandler handler = new RecordingResponseHandler();
            harness.addEngine(ENGINE_ID, unacceptingServer.address());
            harness.runOnLoop(
                    () -> {
                        harness.acceptRequest(handler, IDEMPOTENT_CLASS, 1);
                        return null;
                    });
            SocketTable.awaitAsked(unacceptingServer.address().getPort());
            handler.clientGone = true;
            Socket accepted = unacceptingServer.open();
            harness.awaitOpenRequests(0);
            assertNothingReceived(accepted);
        }
    }

    private void assertNothingReceived(Socket socket) throws Exception {
        harness.awaitDueTasks();
        assertEquals(0, socket.getInputStream().available(), "bytes received of a request");
    }

    /**
     * The engine never responds. The client's timeout starts before its request is read, so an
     * error that is written at the end of the timeout would arrive too late.
     */
    @ParameterizedTest
    @ValueSource(ints = {300, 8000})
    void timeoutErrorIsSentBeforeClientTimeout(int timeoutMillis) throws Exception {
        TestClient client = harness.connect();
        addEngineWithIdleConnection(client);
        harness.clock.freeze();
        client.send(request("lookup", 901).replace("\"d\":8000", "\"d\":" + timeoutMillis));
        assertTrue(engine.command().startsWith("REQ|" + requestId(901)));
        harness.runOnLoop(
                () -> {
                    harness.clock.advance(
                            timeoutMillis * 1000L - Math.min(50_000, timeoutMillis * 100L));
                    return null;
                });
        assertTrue(client.readLine().contains("\"id\":901,\"error\""));
    }

    // Engines and their connections

    /** A retry is allowed within a time window, and its connection is established after that. */
    @Test
    void connectDoesNotSendRetryAfterKeyWindow() throws Exception {
        try (UnacceptingServer unacceptingServer = new UnacceptingServer()) {
            RecordingResponseHandler handler = new RecordingResponseHandler();
            harness.addEngine(ENGINE_ID, engine.address());
            harness.runOnLoop(
                    () -> {
                        harness.acceptRequest(handler, KEYED_CLASS, 1);
                        return null;
                    });
            assertTrue(engine.command().startsWith("REQ|" + requestId(1)));
            harness.addEngine(OTHER_ENGINE_ID, unacceptingServer.address());
            engine.hangUp();
            SocketTable.awaitAsked(unacceptingServer.address().getPort());
            harness.runOnLoop(
                    () -> {
                        harness.clock.advance(JsonRpcServerHarness.KEY_WINDOW_MILLIS * 1000);
                        return null;
                    });
            Socket accepted = unacceptingServer.open();
            String outcome = handler.awaitOutcome();
            assertTrue(outcome != null && !outcome.startsWith("served"), "" + outcome);
            assertNothingReceived(accepted);
        }
    }

    /**
     * The engine has closed its idle connection. A non-idempotent request written to it would have
     * an unknown outcome, so it must use another connection.
     */
    @Test
    void requestAvoidsConnectionClosedByEngine() throws Exception {
        TestClient client = harness.connect();
        addEngineWithIdleConnection(client);
        RecordingResponseHandler handler = new RecordingResponseHandler();
        harness.runOnLoop(
                () -> {
                    engine.leave();
                    harness.acceptRequest(handler, NON_IDEMPOTENT_CLASS, 1);
                    return null;
                });
        assertTrue(engine.command().startsWith("REQ|" + requestId(1)));
        engine.answer(requestId(1) + "|DONE|sheets=1|row\n");
        assertEquals("served row", handler.awaitOutcome());
    }

    /** The engine's address changes while a request waits for a connection to the old address. */
    @Test
    void requestIsNotSentToOldEngineAddress() throws Exception {
        try (UnacceptingServer oldServer = new UnacceptingServer()) {
            RecordingResponseHandler handler = new RecordingResponseHandler();
            harness.addEngine(ENGINE_ID, oldServer.address());
            harness.runOnLoop(
                    () -> {
                        harness.acceptRequest(handler, NON_IDEMPOTENT_CLASS, 1);
                        return null;
                    });
            SocketTable.awaitAsked(oldServer.address().getPort());
            harness.addEngine(ENGINE_ID, engine.address());
            SocketTable.awaitNobodyAsks(oldServer.address().getPort());
            assertTrue(engine.command().startsWith("REQ|" + requestId(1)));
            engine.answer(requestId(1) + "|DONE|sheets=1|row\n");
            assertEquals("served row", handler.awaitOutcome());
        }
    }

    /** The engine starts to drain while a request waits for its connection. */
    @Test
    void waitingRequestIsNotSentToDrainingEngine() throws Exception {
        try (UnacceptingServer unacceptingServer = new UnacceptingServer()) {
            RecordingResponseHandler handler = new RecordingResponseHandler();
            harness.addEngine(ENGINE_ID, unacceptingServer.address());
            harness.runOnLoop(
                    () -> {
                        harness.acceptRequest(handler, NON_IDEMPOTENT_CLASS, 1);
                        return null;
                    });
            SocketTable.awaitAsked(unacceptingServer.address().getPort());
            harness.runOnLoop(
                    () -> {
                        harness.updateEndpoint(
                                ENGINE_ID,
                                JsonRpcServerHarness.LARGE_ENGINE_KIND,
                                unacceptingServer.address(),
                                EngineLifecycle.DRAINING);
                        harness.updateEndpoint(
                                OTHER_ENGINE_ID,
                                JsonRpcServerHarness.LARGE_ENGINE_KIND,
                                engine.address(),
                                EngineLifecycle.READY);
                        return null;
                    });
            SocketTable.awaitNobodyAsks(unacceptingServer.address().getPort());
            assertTrue(
                    engine.command().startsWith("REQ|" + requestId(1)),
                    "an unsent request may run on another engine");
        }
    }

    /**
     * Requests of one ordered key arrive in one iteration, each on its own connection. The selector
     * may report the connections in any order, but the requests must run in the order of arrival.
     */
    @Test
    void requestsOfOneKeyRunInArrivalOrder() throws Exception {
        long seed = System.nanoTime();
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            TestClient client = harness.connect();
            client.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n");
            assertTrue(client.readLine().contains("true"), "the connection must be accepted");
            clients.add(client);
        }
        addEngineWithIdleConnection(clients.get(0));
        // Another iteration, so that the selector considers none of the clients' sockets ready.
        harness.runOnLoop(() -> null);
        Collections.shuffle(clients, new Random(seed));
        harness.runOnLoop(
                () -> {
                    for (int i = 0; i < clients.size(); i++) {
                        clients.get(i)
                                .sendAndAwaitArrival(
                                        request("ordered", 901 + i)
                                                .replace(
                                                        "\"d\"",
                                                        "\"o\":\"7f3a9c21e0b4d655\",\"d\""));
                    }
                    return null;
                });
        for (int i = 901; i < 901 + clients.size(); i++) {
            assertTrue(
                    engine.command().startsWith("REQ|" + requestId(i)),
                    "request " + i + ", seed " + seed);
            engine.answer(requestId(i) + "|DONE|sheets=1|row\n");
        }
    }

    // Fragmented input

    /** Client and engine send each byte separately, and each is read before the next is sent. */
    @Test
    void requestAndResponseMayArriveByteByByte() throws Exception {
        TestClient client = harness.connect();
        addEngineWithIdleConnection(client);
        harness.clock.freeze(); // Else the slow response would time out.
        for (char character : request("lookup", 901).toCharArray()) {
            client.send(String.valueOf(character));
            SocketTable.awaitRead(client.port(), client.socket.getLocalPort());
        }
        assertTrue(engine.command().startsWith("REQ|" + requestId(901)));
        for (char character :
                ("*4\r\n$16\r\n"
                                + requestId(901)
                                + "\r\n$4\r\nDONE\r\n$8\r\nsheets=1\r\n$4\r\nrow\n\r\n")
                        .toCharArray()) {
            engine.raw(String.valueOf(character));
            engine.awaitRead(requestId(901));
        }
        assertTrue(client.readLine().contains("\"id\":901,\"result\""));
    }

    // Closes by the server

    /** The idle timeout of a client expires while its request is unread. */
    @Test
    void requestCrossingIdleCloseIsServed() throws Exception {
        TestClient client = harness.connect();
        addEngineWithIdleConnection(client);
        harness.runOnLoop(
                () -> {
                    client.sendAndAwaitArrival(request("lookup", 901));
                    // The idle check runs in this iteration, before any input is read.
                    harness.clock.advance(9_000_000);
                    return null;
                });
        assertServed(client, 901);
    }

    @Test
    void idleClientIsClosedWithoutReset() throws Exception {
        TestClient client = harness.connect();
        addEngineWithIdleConnection(client);
        harness.runOnLoop(
                () -> {
                    harness.clock.advance(9_000_000);
                    return null;
                });
        assertNull(client.readLine());
        client.send(request("lookup", 901)); // Crosses the close: read and discarded.
        TestClient otherClient = harness.connect();
        assertRequestServed(otherClient, 1);
    }

    /** Empty lines that arrive just before the idle check must not keep a connection open. */
    @Test
    void clientSendingOnlyEmptyLinesIsClosed() throws Exception {
        TestClient client = harness.connect();
        TestClient otherClient = harness.connect();
        addEngineWithIdleConnection(otherClient);
        harness.runOnLoop(
                () -> {
                    client.sendAndAwaitArrival("\n\n");
                    harness.clock.advance(5_000_000);
                    assertTrue(harness.server.evictOne(), "the client must be evicted");
                    return null;
                });
        assertNull(client.readLine());
        TestClient thirdClient = harness.connect();
        harness.runOnLoop(() -> null);
        harness.runOnLoop(
                () -> {
                    thirdClient.sendAndAwaitArrival("\n\n");
                    harness.clock.advance(5_000_000); // The idle check runs in this iteration.
                    return null;
                });
        assertNull(thirdClient.readLine());
        assertRequestServed(harness.connect(), 1);
    }

    /** A client connects at the limit while the connected clients have unread requests. */
    @Test
    void clientWithUnreadRequestIsNotEvicted() throws Exception {
        TestClient firstClient = harness.connect();
        TestClient secondClient = harness.connect();
        addEngineWithIdleConnection(firstClient);
        assertRequestServed(secondClient, 1);
        harness.runOnLoop(
                () -> {
                    harness.clock.advance(1_000_000);
                    firstClient.sendAndAwaitArrival(request("lookup", 901));
                    secondClient.sendAndAwaitArrival(request("lookup", 902));
                    assertFalse(harness.server.evictOne(), "both clients have sent a request");
                    return null;
                });
        for (int i = 0; i < 2; i++) {
            String[] commandParts = engine.command().split("\\|");
            engine.answer(commandParts[1] + "|DONE|sheets=1|row\n");
        }
        assertTrue(firstClient.readLine().contains("\"id\":901,\"result\""));
        assertTrue(secondClient.readLine().contains("\"id\":902,\"result\""));
        harness.runOnLoop(
                () -> {
                    harness.clock.advance(1_000_000);
                    assertTrue(harness.server.evictOne(), "an idle client must be evicted");
                    return null;
                });
    }

    /**
     * The drain closes idle clients in the iteration in which a request of one is unread. That
     * client must be served, then closed.
     */
    @Test
    void requestCrossingDrainIsServed() throws Exception {
        TestClient idleClient = harness.connect();
        TestClient activeClient = harness.connect();
        addEngineWithIdleConnection(activeClient);
        harness.runOnLoop(
                () -> {
                    activeClient.sendAndAwaitArrival(request("lookup", 901));
                    harness.drain();
                    return null;
                });
        assertServed(activeClient, 901);
        assertNull(activeClient.readLine());
        assertNull(idleClient.readLine());
    }

    /**
     * A client has connected and sent a request, and its connection is not accepted when the drain
     * starts. Closing the listener then would reset the connection.
     */
    @Test
    void unacceptedConnectionIsServedDuringDrain() throws Exception {
        TestClient client = harness.connect();
        addEngineWithIdleConnection(client);
        TestClient lateClient =
                harness.runOnLoop(
                        () -> {
                            TestClient connecting = harness.connectTo(client.port());
                            connecting.send(request("lookup", 901));
                            SocketTable.awaitUnread(
                                    client.port(),
                                    connecting.socket.getLocalPort(),
                                    request("lookup", 901).length());
                            harness.drain();
                            return connecting;
                        });
        assertServed(lateClient, 901);
        assertNull(lateClient.readLine());
    }

    /**
     * A client connects in the iteration in which the drain starts. It must be refused rather than
     * connected and reset.
     */
    @Test
    void connectionAfterDrainIsRefused() throws Exception {
        TestClient client = harness.connect();
        addEngineWithIdleConnection(client);
        harness.runOnLoop(
                () -> {
                    harness.drain();
                    assertThrows(ConnectException.class, () -> harness.connectTo(client.port()));
                    return null;
                });
        assertNull(client.readLine());
    }

    /**
     * A non-idempotent request is unread just before the process ends. It would get no response, so
     * it must not run.
     */
    @Test
    void requestBeforeShutdownIsRejectedUnsent() throws Exception {
        TestClient client = harness.connect();
        addEngineWithIdleConnection(client);
        RecordingResponseHandler handler = new RecordingResponseHandler();
        harness.runOnLoop(
                () -> {
                    client.sendAndAwaitArrival(request("load", 901));
                    harness.drain(1);
                    return null;
                });
        assertTrue(client.readLine().contains("\"id\":901,\"error\":{\"code\":-32000,"));
        harness.runOnLoop(
                () -> {
                    harness.acceptRequest(handler, IDEMPOTENT_CLASS, 1);
                    return null;
                });
        assertTrue(engine.command().startsWith("REQ|" + requestId(1)), "the first request sent");
    }

    /** A request read after its connection was closed can't be answered, so it must not run. */
    @Test
    void requestAfterCloseIsNotSent() throws Exception {
        TestClient idleClient = harness.connect();
        TestClient activeClient = harness.connect();
        addEngineWithIdleConnection(activeClient);
        harness.runOnLoop(
                () -> {
                    harness.drain();
                    return null;
                });
        assertNull(idleClient.readLine());
        assertNull(activeClient.readLine());
        activeClient.send(request("load", 901));
        SocketTable.awaitRead(activeClient.port(), activeClient.socket.getLocalPort());
        RecordingResponseHandler handler = new RecordingResponseHandler();
        harness.runOnLoop(
                () -> {
                    harness.acceptRequest(handler, IDEMPOTENT_CLASS, 1);
                    return null;
                });
        assertTrue(engine.command().startsWith("REQ|" + requestId(1)), "the first request sent");
    }
}
