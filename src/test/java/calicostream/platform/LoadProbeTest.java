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

/** Load probes over RESP, with a fake engine whose responses each test chooses. */
class LoadProbeTest {
    private static final long IDLE_TIMEOUT_MICROS = 10_000_000;
    private static final String SETTINGS =
            "lanes.count=1\n"
                    + "lanes.0.name=lookup\n"
                    + "lanes.0.effect=repeatable\n"
                    + "lanes.0.aim_us=800000\n"
                    + "lanes.0.deadline_us=4000000\n"
                    + "family_info.kind_cores=12\n"
                    + "ceilings.may_probe=true\n"
                    + "ceilings.dial_timeout_us=60000000\n"
                    + "ceilings.conn_idle_us="
                    + IDLE_TIMEOUT_MICROS
                    + "\nstats.how=on_probe\nstats.columns=inflight,queue,x0\n";
    private static final long ENGINE_ID = 1;
    private final JsonRpcServerHarness.AdjustableClock clock =
            new JsonRpcServerHarness.AdjustableClock();
    private final SettingsParser settings = SettingsParser.ofLines(SETTINGS);
    private FakeRespEngine engine;
    private SelectorLoop loop;
    private SelectorLoopThread thread;
    private RespEngineClient engineClient;
    private Gateway gateway;

    @BeforeEach
    void start() throws Exception {
        engine = new FakeRespEngine();
        loop = new SelectorLoop(clock, new Deadlines());
        engineClient =
                new RespEngineClient(
                        loop, settings.classNames(), settings.connectionSettings(), 16);
        gateway = new Gateway(clock, loop.deadlines(), settings.settings(), RequestListener.NONE);
        thread = new SelectorLoopThread(loop);
        runOnLoop(
                () -> {
                    engineClient.setAddress(ENGINE_ID, engine.address());
                    gateway.start(
                            engineClient,
                            List.of(
                                    new EngineEndpoint(
                                            ENGINE_ID, 0, 0, 0, 0, EngineLifecycle.READY)));
                    return null;
                });
    }

    @AfterEach
    void stop() throws IOException {
        loop.post(loop::stop);
        engine.close();
    }

    private <T> T runOnLoop(Callable<T> task) throws Exception {
        return thread.call(task);
    }

    private String probe() throws Exception {
        runOnLoop(
                () -> {
                    gateway.probeLoad(ENGINE_ID);
                    return null;
                });
        return engine.command();
    }

    /**
     * Unfit, late, duplicate, unexpected and missing probe responses must neither close the
     * connection nor exclude the engine.
     */
    @Test
    void unusualProbeResponsesKeepConnectionAndEngine() throws Exception {
        assertEquals("STAT|probe1", probe());
        engine.answer("probe1|FIT|stats=inflight:3;queue:0;x0:0.4|");
        engine.answer("probe1|FIT|stats=inflight:3|");
        engine.answer("probe7|FIT|-|");
        assertEquals("STAT|probe2", probe());
        engine.answer("probe2|UNFIT|-|");
        assertEquals("STAT|probe3", probe());
        assertEquals("STAT|probe4", probe(), "the previous probe got no response");
        engine.answer("probe4|FIT|stats=inflight:-3;queue:1e99;x0:no;what:1;|");
        engine.answer("probe3|FIT|-|");
        assertEquals("STAT|probe5", probe());
        engine.raw("*4\r\n$6\r\nprobe5\r\n$3\r\nFIT\r\n$1\r\n-\r\n$0\r\n\r\n");
        assertEquals("STAT|probe6", probe());
        assertEquals(0, runOnLoop(gateway::excludedEngines), "the engine must not be excluded");
    }

    @Test
    void unknownKindOfProbeResponseClosesConnection() throws Exception {
        assertEquals("STAT|probe1", probe());
        engine.answer("probe1|FINE|-|");
        assertTrue(engine.ended());
        assertEquals("STAT|probe2", probe(), "on a new connection");
    }

    @Test
    void unreachableEngineIsExcluded() throws Exception {
        engine.die();
        for (long timeoutAt = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
                runOnLoop(gateway::excludedEngines) == 0; ) {
            assertTrue(System.nanoTime() < timeoutAt, "the engine was not excluded");
            runOnLoop(
                    () -> { // A closing listener may still accept one connection and reset it.
                        gateway.probeLoad(ENGINE_ID);
                        return null;
                    });
        }
    }

    /**
     * The engine closes an idle connection, and the probe is sent before the close is processed: it
     * must use another connection.
     */
    @Test
    void probeAvoidsConnectionClosedByEngine() throws Exception {
        assertEquals("STAT|probe1", probe());
        engine.answer("probe1|FIT|stats=inflight:3|");
        runOnLoop(
                () -> {
                    engine.leave();
                    gateway.probeLoad(ENGINE_ID);
                    return null;
                });
        assertEquals("STAT|probe2", engine.command());
    }

    /** A probe is sent shortly before the idle timeout: the timer must not close the connection. */
    @Test
    void pendingProbeKeepsIdleConnectionOpen() throws Exception {
        assertEquals("STAT|probe1", probe());
        engine.answer("probe1|FIT|stats=inflight:3|");
        runOnLoop(
                () -> {
                    clock.advance(IDLE_TIMEOUT_MICROS * 6 / 10);
                    gateway.probeLoad(ENGINE_ID);
                    return null;
                });
        assertEquals("STAT|probe2", engine.command());
        runOnLoop(
                () -> {
                    clock.advance(IDLE_TIMEOUT_MICROS * 2 / 10);
                    return null;
                });
        thread.awaitDue();
        engine.answer("probe2|FIT|stats=inflight:3|");
        assertEquals("STAT|probe3", probe());
        assertEquals(1, engine.connections());
    }

    /**
     * The engine's address changes while a probe waits for a connection to the old address. Closing
     * that connection must not count as a failure of the engine.
     */
    @Test
    void addressChangeDuringProbeDoesNotExcludeEngine() throws Exception {
        try (UnacceptingServer unacceptingServer = new UnacceptingServer()) {
            runOnLoop(
                    () -> {
                        engineClient.setAddress(ENGINE_ID, unacceptingServer.address());
                        gateway.probeLoad(ENGINE_ID);
                        engineClient.setAddress(ENGINE_ID, engine.address());
                        return null;
                    });
            assertEquals(0, runOnLoop(gateway::excludedEngines), "the engine must not be excluded");
            assertEquals("STAT|probe2", probe());
        }
    }

    @Test
    void drainingEngineIsNotProbed() throws Exception {
        runOnLoop(
                () -> {
                    gateway.endpointsChanged(
                            EndpointUpdate.INCREMENTAL,
                            List.of(
                                    new EngineEndpoint(
                                            ENGINE_ID, 0, 0, 0, 0, EngineLifecycle.DRAINING)));
                    gateway.probeLoad(ENGINE_ID);
                    gateway.endpointsChanged(
                            EndpointUpdate.INCREMENTAL,
                            List.of(
                                    new EngineEndpoint(
                                            ENGINE_ID, 0, 0, 0, 0, EngineLifecycle.READY)));
                    return null;
                });
        assertEquals("STAT|probe1", probe(), "the first probe sent");
    }
}
