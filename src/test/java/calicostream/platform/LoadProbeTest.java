// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.core.Deadlines;
import calicostream.core.Gateway;
import calicostream.core.RequestListener;
import calicostream.net.SelectorLoop;
import calicostream.net.SelectorLoopThread;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.SettingsParser;
import calicostream.wire.FakeRespEngine;
import calicostream.wire.ServerProgram;
import calicostream.wire.UnacceptingServer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What becomes of the module's questions how an engine fares, against an engine that answers as a
 * test says.
 */
class LoadProbeTest {
    private static final long IDLE_US = 10_000_000;
    private static final String SETTINGS =
            "lanes.count=1\n"
                    + "lanes.0.name=look\n"
                    + "lanes.0.effect=repeatable\n"
                    + "lanes.0.aim_us=800000\n"
                    + "lanes.0.deadline_us=4000000\n"
                    + "family_info.kind_cores=12\n"
                    + "ceilings.may_probe=true\n"
                    + "ceilings.dial_timeout_us=60000000\n"
                    + "ceilings.conn_idle_us="
                    + IDLE_US
                    + "\nstats.how=on_probe\nstats.columns=inflight,queue,x0\n";
    private static final long ID = 1;
    private final JsonRpcServerHarness.SetClock clock = new JsonRpcServerHarness.SetClock();
    private final SettingsParser settings = SettingsParser.ofLines(SETTINGS);
    private FakeRespEngine stand;
    private SelectorLoop loop;
    private SelectorLoopThread thread;
    private RespEngineClient side;
    private Gateway gateway;

    @BeforeEach
    void start() throws Exception {
        stand = new FakeRespEngine();
        loop = new SelectorLoop(clock, new Deadlines());
        side = new RespEngineClient(loop, settings.classNames(), settings.connectionSettings(), 16);
        gateway = new Gateway(clock, loop.deadlines(), settings.settings(), RequestListener.NONE);
        thread = new SelectorLoopThread(loop);
        on(
                () -> {
                    side.setAddress(ID, stand.address());
                    gateway.start(
                            side,
                            List.of(new EngineEndpoint(ID, 0, 0, 0, 0, EngineLifecycle.READY)));
                    return null;
                });
    }

    @AfterEach
    void end() throws IOException {
        loop.post(loop::stop);
        stand.close();
    }

    private <T> T on(Callable<T> work) throws Exception {
        return thread.call(work);
    }

    private String probe() throws Exception {
        on(
                () -> {
                    gateway.probeLoad(ID);
                    return null;
                });
        return stand.command();
    }

    /**
     * An unfit engine, a late, second or uncalled-for answer and none at all: the connection stays,
     * and so does the engine.
     */
    @Test
    void oneConnectionCarriesThemAll() throws Exception {
        assertEquals("STAT|probe1", probe());
        stand.answer("probe1|FIT|stats=inflight:3;queue:0;x0:0.4|");
        stand.answer("probe1|FIT|stats=inflight:3|");
        stand.answer("probe7|FIT|-|");
        assertEquals("STAT|probe2", probe());
        stand.answer("probe2|UNFIT|-|");
        assertEquals("STAT|probe3", probe());
        assertEquals("STAT|probe4", probe(), "the one before was never answered");
        stand.answer("probe4|FIT|stats=inflight:-3;queue:1e99;x0:no;what:1;|");
        stand.answer("probe3|FIT|-|");
        assertEquals("STAT|probe5", probe());
        stand.raw("*4\r\n$6\r\nprobe5\r\n$3\r\nFIT\r\n$1\r\n-\r\n$0\r\n\r\n");
        assertEquals("STAT|probe6", probe());
        assertEquals(
                0, on(gateway::excludedEngines), "nothing of this is a reason to leave it out");
    }

    @Test
    void anAnswerOfAnUnknownKindCostsTheConnection() throws Exception {
        assertEquals("STAT|probe1", probe());
        stand.answer("probe1|FINE|-|");
        assertTrue(stand.ended());
        assertEquals("STAT|probe2", probe(), "on another one");
    }

    @Test
    void whoCanNotBeReachedIsLeftOut() throws Exception {
        stand.die();
        for (long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
                on(gateway::excludedEngines) == 0; ) {
            assertTrue(System.nanoTime() < end, "the engine is still used");
            on(
                    () -> { // A socket that closes may still take one connection, and break it.
                        gateway.probeLoad(ID);
                        return null;
                    });
        }
    }

    /**
     * The engine's close of a resting connection lies unread when it is asked: the question goes by
     * another one.
     */
    @Test
    void aQuestionDoesNotGoByAConnectionThatItsEngineHasClosed() throws Exception {
        assertEquals("STAT|probe1", probe());
        stand.answer("probe1|FIT|stats=inflight:3|");
        on(
                () -> {
                    stand.leave();
                    gateway.probeLoad(ID);
                    return null;
                });
        assertEquals("STAT|probe2", stand.command());
    }

    /** The connection has rested for nearly as long as it may when the engine is asked by it. */
    @Test
    void aConnectionIsNotClosedAsIdleUnderAQuestion() throws Exception {
        assertEquals("STAT|probe1", probe());
        stand.answer("probe1|FIT|stats=inflight:3|");
        on(
                () -> {
                    clock.advance(IDLE_US * 6 / 10);
                    gateway.probeLoad(ID);
                    return null;
                });
        assertEquals("STAT|probe2", stand.command());
        on(
                () -> {
                    clock.advance(IDLE_US * 2 / 10);
                    return null;
                });
        thread.awaitDue();
        stand.answer("probe2|FIT|stats=inflight:3|");
        assertEquals("STAT|probe3", probe());
        assertEquals(1, stand.connections());
    }

    /**
     * The list gives an engine another address while a question waits for its connection to the old
     * one: our own close is no failure of it.
     */
    @Test
    void anEngineThatMovesUnderAQuestionIsNotLeftOut() throws Exception {
        try (UnacceptingServer late = new UnacceptingServer()) {
            on(
                    () -> {
                        side.setAddress(ID, late.address());
                        gateway.probeLoad(ID);
                        side.setAddress(ID, stand.address());
                        return null;
                    });
            assertEquals(0, on(gateway::excludedEngines), "it was benched for what we did");
            assertEquals("STAT|probe2", probe());
        }
    }

    @Test
    void anEngineThatDrainsIsNotAsked() throws Exception {
        on(
                () -> {
                    gateway.endpointsChanged(
                            EndpointUpdate.INCREMENTAL,
                            List.of(new EngineEndpoint(ID, 0, 0, 0, 0, EngineLifecycle.DRAINING)));
                    gateway.probeLoad(ID);
                    gateway.endpointsChanged(
                            EndpointUpdate.INCREMENTAL,
                            List.of(new EngineEndpoint(ID, 0, 0, 0, 0, EngineLifecycle.READY)));
                    return null;
                });
        assertEquals("STAT|probe1", probe(), "the first that goes out");
    }
}
