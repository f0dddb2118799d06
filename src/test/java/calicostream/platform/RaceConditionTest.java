// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import static calicostream.platform.JsonRpcServerHarness.KEYED;
import static calicostream.platform.JsonRpcServerHarness.LOAD;
import static calicostream.platform.JsonRpcServerHarness.LOOK;
import static calicostream.platform.JsonRpcServerHarness.id;
import static calicostream.platform.JsonRpcServerHarness.interrupt;
import static calicostream.platform.JsonRpcServerHarness.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.platform.JsonRpcServerHarness.Asker;
import calicostream.platform.JsonRpcServerHarness.Client;
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
 * Two events on real connections, in the order that does harm, every time: {@code
 * docs/design/race-conditions.md} has the table.
 */
class RaceConditionTest {
    private static final long ENGINE = 1;
    private static final long OTHER = 2;
    private JsonRpcServerHarness rig;
    private FakeRespEngine stand;

    @BeforeEach
    void start() throws Exception {
        rig = new JsonRpcServerHarness();
        stand = new FakeRespEngine();
    }

    @AfterEach
    void end() throws Exception {
        rig.close();
        stand.close();
    }

    /**
     * An engine with a connection that rests, so that a request goes out in the turn in which it is
     * sent.
     */
    private void warm(Client by) throws Exception {
        warm(by, JsonRpcServerHarness.WIDE);
    }

    private void warm(Client by, int kind) throws Exception {
        rig.listed(ENGINE, kind, stand.address());
        serve(by, 900);
    }

    /** An engine with no room for more; the handle of one of the two requests that take it. */
    private long full(Client by) throws Exception {
        warm(by, JsonRpcServerHarness.NARROW);
        Asker asker = new Asker();
        long first =
                rig.on(
                        () -> {
                            rig.ask(asker, LOOK, 802);
                            return rig.ask(asker, LOOK, 801);
                        });
        twoAreHeardOf();
        return first;
    }

    /**
     * Takes two requests and sends a sign of each, without which their connections would be in
     * doubt, and left, once they are called off.
     */
    private void twoAreHeardOf() throws Exception {
        for (int i = 0; i < 2; i++) {
            String[] asked = stand.command().split("\\|");
            assertEquals("REQ", asked[0]);
            stand.answer(asked[1] + "|TELL|-|");
            stand.awaitRead(asked[1]);
        }
        rig.on(() -> null);
    }

    private void serve(Client client, int number) throws Exception {
        client.send(request("look", number));
        assertServed(client, number);
    }

    private void assertServed(Client client, int number) throws Exception {
        assertTrue(
                stand.command().startsWith("REQ|" + id(number)),
                "the first that goes out is " + number);
        stand.answer(id(number) + "|DONE|sheets=1|row\n");
        assertTrue(
                client.line().startsWith("{\"jsonrpc\":\"2.0\",\"id\":" + number + ",\"result\""));
    }

    // ---- A client that has gone
    // ------------------------------------------------------------------------
    /**
     * The engine has room again in the turn in which the client's close, or its reset, lies unread.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatWaitedForRoomIsNotSentOnceItsClientHasClosed(boolean reset) throws Exception {
        Client leaves = rig.client();
        Client stays = rig.client();
        long before = full(stays);
        leaves.send(request("look", 1));
        rig.awaitOpen(3);
        rig.on(
                () -> {
                    if (reset) {
                        leaves.resetUnread();
                    } else {
                        leaves.closeUnread();
                    }
                    rig.gateway.abandon(before);
                    return null;
                });
        assertEquals("STOP|" + id(801), stand.command());
        rig.awaitOpen(1);
        serve(stays, 901);
    }

    /** The same with a word instead of a close: the connection stays and is served on. */
    @Test
    void whatWaitedForRoomIsNotSentOnceItsClientHasCancelled() throws Exception {
        Client client = rig.client();
        long before = full(client);
        client.send(request("look", 901));
        client.send(request("look", 902));
        rig.awaitOpen(4);
        rig.on(
                () -> {
                    client.sendUnread(interrupt(901));
                    rig.gateway.abandon(before);
                    return null;
                });
        assertEquals("STOP|" + id(801), stand.command());
        assertServed(client, 902);
        rig.awaitOpen(1);
        serve(client, 903);
    }

    /** The word on a request is in the same write, behind it: the request is handled first. */
    @Test
    void aRequestWhoseCancelCameWithItIsNotSent() throws Exception {
        Client client = rig.client();
        warm(client);
        client.send(request("look", 901) + interrupt(901) + request("look", 902));
        assertServed(client, 902);
    }

    /** Many requests at once and gone: the close has come before the first is handled. */
    @Test
    void noneOfManyIsSentOnceTheirClientHasClosed() throws Exception {
        Client leaves = rig.client();
        Client stays = rig.client();
        warm(stays);
        rig.on(
                () -> {
                    StringBuilder lines = new StringBuilder();
                    for (int i = 1; i <= 30; i++) {
                        lines.append(request("look", i));
                    }
                    leaves.sendUnread(lines.toString());
                    leaves.closeUnread();
                    return null;
                });
        serve(stays, 901);
        rig.awaitOpen(0);
    }

    /** What it had out is called off one by one, and each makes room for what it had waiting. */
    @Test
    void noneThatWaitsIsSentAsItsClientsOthersAreCalledOff() throws Exception {
        Client leaves = rig.client();
        Client stays = rig.client();
        warm(stays, JsonRpcServerHarness.NARROW);
        leaves.send(
                request("look", 1) + request("look", 2) + request("look", 3) + request("look", 4));
        twoAreHeardOf();
        rig.awaitOpen(4);
        leaves.socket.close();
        rig.awaitOpen(0);
        assertTrue(stand.command().startsWith("STOP|"));
        assertTrue(stand.command().startsWith("STOP|"));
        serve(stays, 901);
    }

    @Test
    void aFurtherAttemptIsNotSentOnceTheClientHasGone() throws Exception {
        try (FakeRespEngine other = new FakeRespEngine()) {
            Asker asker = new Asker();
            rig.listed(ENGINE, stand.address());
            rig.on(
                    () -> {
                        rig.ask(asker, LOOK, 1);
                        return null;
                    });
            assertTrue(stand.command().startsWith("REQ|" + id(1)));
            rig.listed(OTHER, other.address());
            asker.left = true;
            stand.answer(id(1) + "|WAIT|-|");
            rig.awaitOpen(0);
            asker.left = false;
            rig.on(
                    () -> {
                        rig.list(
                                ENGINE,
                                JsonRpcServerHarness.WIDE,
                                stand.address(),
                                EngineLifecycle.DRAINING);
                        rig.ask(asker, LOOK, 2);
                        return null;
                    });
            assertTrue(other.command().startsWith("REQ|" + id(2)), "the first that goes there");
        }
    }

    /** The connection comes up a second late, and the client has gone meanwhile. */
    @Test
    void whatWaitedForItsConnectionIsNotSentOnceItsClientHasGone() throws Exception {
        try (UnacceptingServer late = new UnacceptingServer()) {
            Asker asker = new Asker();
            rig.listed(ENGINE, late.address());
            rig.on(
                    () -> {
                        rig.ask(asker, LOOK, 1);
                        return null;
                    });
            SocketTable.awaitAsked(late.address().getPort());
            asker.left = true;
            Socket opened = late.open();
            rig.awaitOpen(0);
            assertNothingArrived(opened);
        }
    }

    private void assertNothingArrived(Socket at) throws Exception {
        rig.awaitDue();
        assertEquals(0, at.getInputStream().available(), "bytes of a request");
    }

    /**
     * The engine never answers. The client's time began before its request was read, and ends while
     * an answer is on its way: what is written in its last moment comes too late.
     */
    @ParameterizedTest
    @ValueSource(ints = {300, 8000})
    void theLastWordIsOnItsWayBeforeTheClientsTimeIsUp(int waitMs) throws Exception {
        Client client = rig.client();
        warm(client);
        rig.clock.stop();
        client.send(request("look", 901).replace("\"d\":8000", "\"d\":" + waitMs));
        assertTrue(stand.command().startsWith("REQ|" + id(901)));
        rig.on(
                () -> {
                    rig.clock.advance(waitMs * 1000L - Math.min(50_000, waitMs * 100L));
                    return null;
                });
        assertTrue(client.line().contains("\"id\":901,\"error\""));
    }

    // ---- Engines
    // ---------------------------------------------------------------------------------------
    /** A repeat is allowed for as long as its window says; its connection comes up after that. */
    @Test
    void aRepeatWhoseWindowHasPassedIsNotSentWhenItsConnectionComesUp() throws Exception {
        try (UnacceptingServer late = new UnacceptingServer()) {
            Asker asker = new Asker();
            rig.listed(ENGINE, stand.address());
            rig.on(
                    () -> {
                        rig.ask(asker, KEYED, 1);
                        return null;
                    });
            assertTrue(stand.command().startsWith("REQ|" + id(1)));
            rig.listed(OTHER, late.address());
            stand.hangUp();
            SocketTable.awaitAsked(late.address().getPort());
            rig.on(
                    () -> {
                        rig.clock.advance(JsonRpcServerHarness.WINDOW_MS * 1000);
                        return null;
                    });
            Socket opened = late.open();
            String answer = asker.answer();
            assertTrue(answer != null && !answer.startsWith("served"), "" + answer);
            assertNothingArrived(opened);
        }
    }

    /**
     * An engine closes what rests, and nobody could tell whether a load written there has run: it
     * goes by another connection.
     */
    @Test
    void aLoadIsNotSentOnAConnectionThatItsEngineHasClosed() throws Exception {
        Client client = rig.client();
        warm(client);
        Asker asker = new Asker();
        rig.on(
                () -> {
                    stand.leave();
                    rig.ask(asker, LOAD, 1);
                    return null;
                });
        assertTrue(stand.command().startsWith("REQ|" + id(1)));
        stand.answer(id(1) + "|DONE|sheets=1|row\n");
        assertEquals("served row", asker.answer());
    }

    /**
     * The list gives an engine another address while a request waits for its connection to the old
     * one.
     */
    @Test
    void aRequestDoesNotReachWhoHasItsEnginesOldAddress() throws Exception {
        try (UnacceptingServer old = new UnacceptingServer()) {
            Asker asker = new Asker();
            rig.listed(ENGINE, old.address());
            rig.on(
                    () -> {
                        rig.ask(asker, LOAD, 1);
                        return null;
                    });
            SocketTable.awaitAsked(old.address().getPort());
            rig.listed(ENGINE, stand.address());
            SocketTable.awaitNobodyAsks(old.address().getPort());
            assertTrue(stand.command().startsWith("REQ|" + id(1)));
            stand.answer(id(1) + "|DONE|sheets=1|row\n");
            assertEquals("served row", asker.answer());
        }
    }

    /** The engine drains in the turn in which a request waits for its connection. */
    @Test
    void whatWaitedForItsConnectionIsNotSentOnceItsEngineDrains() throws Exception {
        try (UnacceptingServer late = new UnacceptingServer()) {
            Asker asker = new Asker();
            rig.listed(ENGINE, late.address());
            rig.on(
                    () -> {
                        rig.ask(asker, LOAD, 1);
                        return null;
                    });
            SocketTable.awaitAsked(late.address().getPort());
            rig.on(
                    () -> {
                        rig.list(
                                ENGINE,
                                JsonRpcServerHarness.WIDE,
                                late.address(),
                                EngineLifecycle.DRAINING);
                        rig.list(
                                OTHER,
                                JsonRpcServerHarness.WIDE,
                                stand.address(),
                                EngineLifecycle.READY);
                        return null;
                    });
            SocketTable.awaitNobodyAsks(late.address().getPort());
            assertTrue(
                    stand.command().startsWith("REQ|" + id(1)),
                    "it never ran, so another may have it");
        }
    }

    /**
     * Requests of one key come in one turn, each on a connection of its own: they run in the order
     * in which they came.
     */
    @Test
    void requestsOfOneKeyRunInTheOrderInWhichTheyCame() throws Exception {
        long seed = System.nanoTime();
        List<Client> askers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Client asker = rig.client();
            asker.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n");
            assertTrue(asker.line().contains("true"), "it has been taken");
            askers.add(asker);
        }
        warm(askers.get(0));
        rig.on(() -> null); // The system has been asked since, and holds none of them for ready
        // any more.
        Collections.shuffle(askers, new Random(seed));
        rig.on(
                () -> {
                    for (int i = 0; i < askers.size(); i++) {
                        askers.get(i)
                                .sendUnread(
                                        request("in-turn", 901 + i)
                                                .replace(
                                                        "\"d\"",
                                                        "\"o\":\"7f3a9c21e0b4d655\",\"d\""));
                    }
                    return null;
                });
        for (int i = 901; i < 901 + askers.size(); i++) {
            assertTrue(
                    stand.command().startsWith("REQ|" + id(i)), "number " + i + ", seed " + seed);
            stand.answer(id(i) + "|DONE|sheets=1|row\n");
        }
    }

    // ---- Pieces
    // ------------------------------------------------------------------------------------------
    /** Each byte is read by itself, on both sides. */
    @Test
    void aRequestAndItsAnswerMayComeInPiecesOfOneByte() throws Exception {
        Client client = rig.client();
        warm(client);
        rig.clock.stop(); // An answer that takes long would be given up.
        for (char each : request("look", 901).toCharArray()) {
            client.send(String.valueOf(each));
            SocketTable.awaitRead(client.port(), client.socket.getLocalPort());
        }
        assertTrue(stand.command().startsWith("REQ|" + id(901)));
        for (char each :
                ("*4\r\n$16\r\n" + id(901) + "\r\n$4\r\nDONE\r\n$8\r\nsheets=1\r\n$4\r\nrow\n\r\n")
                        .toCharArray()) {
            stand.raw(String.valueOf(each));
            stand.awaitRead(id(901));
        }
        assertTrue(client.line().contains("\"id\":901,\"result\""));
    }

    // ---- Closes of this side
    // ---------------------------------------------------------------------------
    /** A request lies unread at the moment in which its connection has rested for too long. */
    @Test
    void aRequestThatCrossesAnIdleCloseIsServed() throws Exception {
        Client client = rig.client();
        warm(client);
        rig.on(
                () -> {
                    client.sendUnread(request("look", 901));
                    rig.clock.advance(
                            9_000_000); // The look for those that rest comes in this turn, before
                    // anything is read.
                    return null;
                });
        assertServed(client, 901);
    }

    @Test
    void whoRestsIsToldGoodbyeWithoutAReset() throws Exception {
        Client client = rig.client();
        warm(client);
        rig.on(
                () -> {
                    rig.clock.advance(9_000_000);
                    return null;
                });
        assertNull(client.line());
        client.send(request("look", 901)); // It crosses the close: read, dropped, not sent on.
        Client other = rig.client();
        serve(other, 1);
    }

    /** Empty lines are nothing to wait for, though each comes in the moment of the look. */
    @Test
    void whoSendsNothingOfUseIsToldGoodbyeWhateverComes() throws Exception {
        Client client = rig.client();
        Client other = rig.client();
        warm(other);
        rig.on(
                () -> {
                    client.sendUnread("\n\n");
                    rig.clock.advance(5_000_000);
                    assertTrue(rig.front.evictOne(), "it keeps nobody out");
                    return null;
                });
        assertNull(client.line());
        Client again = rig.client();
        rig.on(() -> null);
        rig.on(
                () -> {
                    again.sendUnread("\n\n");
                    rig.clock.advance(5_000_000); // The look comes in this turn.
                    return null;
                });
        assertNull(again.line());
        serve(rig.client(), 1);
    }

    /** All descriptors for clients are taken, and another client comes. */
    @Test
    void whoHasJustAskedIsNotSparedForAnother() throws Exception {
        Client first = rig.client();
        Client second = rig.client();
        warm(first);
        serve(second, 1);
        rig.on(
                () -> {
                    rig.clock.advance(1_000_000);
                    first.sendUnread(request("look", 901));
                    second.sendUnread(request("look", 902));
                    assertFalse(rig.front.evictOne(), "both have asked");
                    return null;
                });
        for (int i = 0; i < 2; i++) {
            String[] asked = stand.command().split("\\|");
            stand.answer(asked[1] + "|DONE|sheets=1|row\n");
        }
        assertTrue(first.line().contains("\"id\":901,\"result\""));
        assertTrue(second.line().contains("\"id\":902,\"result\""));
        rig.on(
                () -> {
                    rig.clock.advance(1_000_000);
                    assertTrue(rig.front.evictOne(), "one that rests");
                    return null;
                });
    }

    /**
     * The front ends who rests in the turn in which a request of one lies unread: it is answered,
     * and ended with the answer.
     */
    @Test
    void aRequestThatCrossesTheShutdownIsServed() throws Exception {
        Client rests = rig.client();
        Client asks = rig.client();
        warm(asks);
        rig.on(
                () -> {
                    asks.sendUnread(request("look", 901));
                    rig.retire();
                    return null;
                });
        assertServed(asks, 901);
        assertNull(asks.line());
        assertNull(rests.line());
    }

    /**
     * It has connected and asked, and nobody has taken its connection yet when the front takes no
     * more: closing would reset it.
     */
    @Test
    void whoWaitsToBeTakenAtTheShutdownIsServed() throws Exception {
        Client client = rig.client();
        warm(client);
        Client late =
                rig.on(
                        () -> {
                            Client connects = rig.clientOf(client.port());
                            connects.send(request("look", 901));
                            SocketTable.awaitUnread(
                                    client.port(),
                                    connects.socket.getLocalPort(),
                                    request("look", 901).length());
                            rig.retire();
                            return connects;
                        });
        assertServed(late, 901);
        assertNull(late.line());
    }

    /**
     * It connects in the turn in which the front has taken the last one: it must be refused, not
     * let in and reset.
     */
    @Test
    void whoConnectsBehindTheShutdownIsRefused() throws Exception {
        Client client = rig.client();
        warm(client);
        rig.on(
                () -> {
                    rig.retire();
                    assertThrows(ConnectException.class, () -> rig.clientOf(client.port()));
                    return null;
                });
        assertNull(client.line());
    }

    /**
     * A load lies unread in the last moment before the process ends: nobody could answer it any
     * more, so it must not run.
     */
    @Test
    void aRequestReadInTheLastMomentIsRefusedUnsent() throws Exception {
        Client client = rig.client();
        warm(client);
        Asker asker = new Asker();
        rig.on(
                () -> {
                    client.sendUnread(request("load", 901));
                    rig.retire(1);
                    return null;
                });
        assertTrue(client.line().contains("\"id\":901,\"error\":{\"code\":-32000,"));
        rig.on(
                () -> {
                    rig.ask(asker, LOOK, 1);
                    return null;
                });
        assertTrue(stand.command().startsWith("REQ|" + id(1)), "the first that goes out");
    }

    /** A request read once its connection is being ended can't be answered: it must not run. */
    @Test
    void aRequestBehindTheLastWordIsNotSent() throws Exception {
        Client rests = rig.client();
        Client asks = rig.client();
        warm(asks);
        rig.on(
                () -> {
                    rig.retire();
                    return null;
                });
        assertNull(rests.line());
        assertNull(asks.line());
        asks.send(request("load", 901));
        SocketTable.awaitRead(asks.port(), asks.socket.getLocalPort());
        Asker asker = new Asker();
        rig.on(
                () -> {
                    rig.ask(asker, LOOK, 1);
                    return null;
                });
        assertTrue(stand.command().startsWith("REQ|" + id(1)), "the first that goes out");
    }
}
