// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The same faults on both protocols: the rules are the core's, whatever wire is before and behind
 * it.
 */
class FaultRunsTest {
    private static final String READ = "select * from sales_17.orders";
    private static final String LOAD = "insert into sales_17.points select 1";

    @Nested
    class Platform extends Runs {
        @Override
        TestServer stand() {
            return new FakePlatform();
        }
    }

    @Nested
    class Flight extends Runs {
        @Override
        TestServer stand() {
            return new FlightTestServer();
        }
    }

    abstract static class Runs {
        @TempDir Path folder;
        private final TestServer stand = stand();
        private final List<TestServer.Engine> engines = new ArrayList<>();
        private FakeDiscoveryServer log;
        private ServerProgram program;
        private int admin;

        abstract TestServer stand();

        private void start(int count) throws Exception {
            List<String> known = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                engines.add(stand.engine());
                known.add(entry(i, "Ready", 0));
            }
            log = new FakeDiscoveryServer();
            program = new ServerProgram(folder, log.port(), known, stand.deploy());
            log.follow();
            log.stayAwake();
            admin = program.port("admin API on port");
            stand.connect(program);
        }

        private String entry(int engine, String status, long sinceMs) {
            return ServerProgram.endpoint(
                    "e" + engine, engines.get(engine).address(), status, sinceMs);
        }

        /** The engine at which an attempt has arrived. */
        private TestServer.Engine arrivedAt() throws InterruptedException {
            long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
            while (System.nanoTime() < end) {
                for (TestServer.Engine e : engines) {
                    if (e.waiting() > 0) {
                        return e;
                    }
                }
                Thread.sleep(1);
            }
            throw new AssertionError("nothing arrived anywhere");
        }

        private int waiting() {
            return engines.stream().mapToInt(TestServer.Engine::waiting).sum();
        }

        @AfterEach
        void end() throws Exception {
            assertTrue(program.isAlive(), "the program has ended");
            program.close();
            log.close();
            stand.close();
            for (TestServer.Engine e : engines) {
                e.die();
            }
        }

        @Test
        void readIsServed() throws Exception {
            start(1);
            TestServer.Answer answer = stand.ask("lookup", READ, 3000);
            TestServer.Asked asked = engines.get(0).next();
            assertEquals(READ, asked.sql());
            asked.serve("row");
            assertEquals("served row", answer.await());
        }

        @Test
        void readOfDeadEngineGoesToAnother() throws Exception {
            start(2);
            TestServer.Answer answer = stand.ask("report", READ, 9000);
            TestServer.Engine first = arrivedAt();
            first.next();
            first.die();
            engines.remove(first);
            engines.get(0).next().serve("row");
            assertEquals("served row", answer.await());
        }

        @Test
        void loadOfDeadEngineFailsAndNeverRunsAgain() throws Exception {
            start(2);
            TestServer.Answer answer = stand.ask("stat-load", LOAD, 9000);
            TestServer.Engine first = arrivedAt();
            first.next();
            first.die();
            engines.remove(first);
            assertEquals("failed", answer.await());
            // A read asked for afterwards arrives alone: the load was not sent again before it.
            TestServer.Answer after = stand.ask("lookup", READ, 9000);
            TestServer.Asked asked = engines.get(0).next();
            assertEquals(READ, asked.sql());
            asked.serve("row");
            assertEquals("served row", after.await());
            assertEquals(0, engines.get(0).waiting());
        }

        @Test
        void loadThatBrokeFails() throws Exception {
            start(2);
            TestServer.Answer answer = stand.ask("stat-load", LOAD, 9000);
            arrivedAt().next().broke();
            assertEquals("failed", answer.await());
            assertEquals(0, waiting());
        }

        @Test
        void loadTurnedAwayUnseenGoesToAnother() throws Exception {
            start(2);
            TestServer.Answer answer = stand.ask("stat-load", LOAD, 9000);
            TestServer.Engine first = arrivedAt();
            first.next().full();
            arrivedAt().next().serve("7");
            assertEquals("served 7", answer.await());
        }

        @Test
        void streamCutHalfwayIsNeverServed() throws Exception {
            start(1);
            TestServer.Answer answer = stand.ask("report", READ, 4000);
            TestServer.Asked asked = engines.get(0).next();
            asked.half();
            engines.get(0).die();
            String told = answer.await();
            assertTrue(!told.startsWith("served"), told);
        }

        @Test
        void nothingNewGoesToDrainingEngine() throws Exception {
            start(2);
            TestServer.Answer before = stand.ask("lookup", READ, 9000);
            TestServer.Engine first = arrivedAt();
            TestServer.Asked running = first.next();
            int index = engines.indexOf(first);
            log.tell(2, ServerProgram.event(2, false, List.of(entry(index, "Terminating", 0))));
            // The log is read in order, and the figures tell that what came behind the drain has
            // been read.
            String third =
                    ServerProgram.endpoint(
                            "e9",
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                            "Terminating",
                            0);
            log.tell(3, ServerProgram.event(3, false, List.of(third)));
            long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
            while (!ServerProgram.call(admin, "GET /-/metrics").contains("\"pool_size\":3")
                    && System.nanoTime() < end) {
                Thread.onSpinWait();
            }
            TestServer.Engine other = engines.get(1 - index);
            List<TestServer.Answer> later = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                later.add(stand.ask("lookup", READ, 9000));
                other.next().serve("row");
            }
            assertEquals(0, first.waiting());
            running.serve("old row");
            assertEquals("served old row", before.await());
            for (TestServer.Answer answer : later) {
                assertEquals("served row", answer.await());
            }
        }

        /** Taken out by hand, put back: the same figures and the same engine on both protocols. */
        @Test
        void engineTakenOutByHandGetsNothingUntilItIsPutBack() throws Exception {
            start(2);
            TestServer.Answer before = stand.ask("lookup", READ, 9000);
            TestServer.Engine first = arrivedAt();
            first.next().serve("row");
            assertEquals("served row", before.await());
            String path = "POST /-/engines/e" + engines.indexOf(first);
            assertTrue(ServerProgram.call(admin, path + "/disable").startsWith("HTTP/1.1 200 "));
            TestServer.Engine other = engines.get(1 - engines.indexOf(first));
            for (int i = 0; i < 5; i++) {
                TestServer.Answer answer = stand.ask("lookup", READ, 9000);
                other.next().serve("row");
                assertEquals("served row", answer.await());
            }
            String figures = ServerProgram.call(admin, "GET /-/metrics");
            assertTrue(
                    figures.endsWith(
                            "{\"ok\":{\"lookup\":6,\"report\":0,\"stat-load\":0},\"shed\":{\"lookup\":0,\"report\":0,\"stat-load\":0},\"errors\":{\"lookup\":0,\"report\":0,\"stat-load\":0},\"tries\":6,\"active\":0,\"pool_size\":2,\"pool_ejected\":1}\n"),
                    figures);
            assertTrue(ServerProgram.call(admin, path + "/enable").startsWith("HTTP/1.1 200 "));
            TestServer.Answer after = stand.ask("lookup", READ, 9000);
            first.next().serve("row");
            assertEquals("served row", after.await());
        }

        @Test
        void coldEngineIsSpared() throws Exception {
            start(1);
            engines.add(stand.engine());
            log.tell(
                    2,
                    ServerProgram.event(
                            2, false, List.of(entry(1, "Ready", System.currentTimeMillis()))));
            List<TestServer.Answer> answers = new ArrayList<>();
            long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
            int asked = 0;
            while (engines.get(1).waiting() == 0
                    && System.nanoTime() < end) { // until its start has arrived
                answers.add(stand.ask("lookup", "select 1 from s_" + asked++ + ".t", 1500));
                Thread.sleep(2);
            }
            for (int i = 0; i < 40 && asked < 1000; i++) {
                answers.add(stand.ask("lookup", "select 1 from s_" + asked++ + ".t", 1500));
            }
            for (TestServer.Answer answer :
                    answers) { // No engine answers: all end by themselves, one by one.
                String told = answer.await();
                assertTrue(told.equals("refused") || told.equals("deadline"), told);
            }
            // All ended within one window of the rule. The allowance is 4 times 30% of 12 cores for
            // 2 s, of which usual work of 1 s takes less than 20.
            assertTrue(engines.get(1).waiting() > 0, "nothing sent to the cold engine");
            assertTrue(
                    engines.get(1).waiting() <= 20,
                    engines.get(1).waiting() + " sent to the cold engine");
            assertTrue(engines.get(0).waiting() > 0, "nothing sent to the warm one");
        }

        @Test
        void clientThatCancelsFreesTheEngine() throws Exception {
            start(1);
            TestServer.Answer answer = stand.ask("report", READ, 9000);
            TestServer.Asked asked = engines.get(0).next();
            answer.cancel();
            asked.awaitCancel();
        }

        @Test
        void deadlineEndsTheRequestAndTheAttempt() throws Exception {
            start(1);
            TestServer.Answer answer = stand.ask("report", READ, 4000);
            TestServer.Asked asked = engines.get(0).next();
            assertEquals("deadline", answer.await());
            asked.awaitCancel();
        }

        @Test
        void withNoEngineARequestIsRefusedWithAWait() throws Exception {
            start(0);
            assertEquals("refused", stand.ask("lookup", READ, 2500).await());
            assertEquals("refused", stand.ask("stat-load", LOAD, 9000).await());
        }
    }
}
