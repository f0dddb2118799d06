// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.tcp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.MemberSession;
import calicostream.cluster.ReplicatedState;
import calicostream.cluster.StateMachine;
import calicostream.cluster.raft.DurableRaftStore;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterNode;
import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.durable.DurableLog;
import calicostream.durable.FileDisk;
import calicostream.durable.LogIdentity;
import calicostream.durable.LogOptions;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Voters with real threads, sockets and folders in one process. */
class TcpClusterTest {
    private static final List<Voter> VOTERS =
            List.of(new Voter(1, 0), new Voter(2, 0), new Voter(3, 0));

    static {
        System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off");
    }

    /** Adds the first byte of each command. */
    private static final class SumStateMachine implements StateMachine {
        private byte sum;

        @Override
        public CommandEffects apply(long index, Command command) {
            sum += command.body()[0];
            return CommandEffects.response(snapshot());
        }

        @Override
        public byte[] query(byte[] question) {
            return snapshot();
        }

        @Override
        public byte[] snapshot() {
            return new byte[] {sum};
        }

        @Override
        public void restore(byte[] snapshot) {
            sum = snapshot[0];
        }
    }

    private final class Node {
        private final SelectorLoop loop = new SelectorLoop(new Clock(), new Deadlines());
        private final SelectorEventLoop eventLoop = new SelectorEventLoop(loop);
        private final DurableLog log;
        private final VoterNode voter;
        private final MemberSession member;
        private final TcpTransport transport;
        private final Thread thread;

        Node(int id, Path folder) throws IOException {
            FileDisk disk = new FileDisk(Files.createDirectories(folder.resolve("voter-" + id)));
            log =
                    DurableLog.open(
                            disk, disk, new LogIdentity("test", "voter-" + id), LogOptions.DEFAULT);
            transport =
                    new TcpTransport(
                            loop,
                            "test",
                            id,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            Map.of(),
                            this::received);
            voter =
                    new VoterNode(
                            new VoterNode.Settings(VOTERS.get(id - 1), VOTERS, 50, 5, 200, 64, 100),
                            new VoterNode.Environment(
                                    eventLoop, transport, new Random(id), error -> {}),
                            new DurableRaftStore(log).storage(),
                            new ReplicatedState(Map.of("sum", new SumStateMachine())),
                            Map.of());
            member =
                    new MemberSession(
                            new MemberSession.Settings(id, 2000, 200, 16),
                            List.of(1, 2, 3),
                            (long) id << 40 | ++processesStarted << 20);
            thread =
                    new Thread(
                            () -> {
                                try {
                                    loop.run();
                                } catch (IOException e) {
                                    throw new IllegalStateException(e);
                                }
                            },
                            "voter-" + id);
            thread.start();
        }

        void start() {
            loop.post(
                    () -> {
                        voter.start();
                        tick();
                    });
        }

        private void received(int from, byte[] bytes) {
            if (MemberMessage.decode(bytes) instanceof MemberMessage.Reply reply) {
                member.received(from, reply, eventLoop.nanoTime());
            }
            voter.onFrame(from, bytes);
        }

        private void tick() {
            member.tick(eventLoop.nanoTime())
                    .forEach(send -> transport.send(send.voter(), send.frame()));
            eventLoop.schedule(this::tick, 10_000_000);
        }

        CommandOutcome add(int number)
                throws InterruptedException, ExecutionException, TimeoutException {
            CompletableFuture<CommandOutcome> done = new CompletableFuture<>();
            loop.post(() -> member.submit("sum", new byte[] {(byte) number}, done::complete));
            return done.get(30, TimeUnit.SECONDS);
        }

        boolean leads() throws InterruptedException, ExecutionException, TimeoutException {
            CompletableFuture<Boolean> leads = new CompletableFuture<>();
            loop.post(() -> leads.complete(voter.isLeader()));
            return leads.get(30, TimeUnit.SECONDS);
        }

        void stop() throws InterruptedException {
            loop.post(
                    () -> {
                        voter.stop();
                        transport.close();
                        log.close();
                        loop.stop();
                    });
            thread.join();
        }
    }

    private final List<Node> nodes = new ArrayList<>();
    private long processesStarted;
    @TempDir private Path folder;

    private void connect() throws IOException {
        for (Node a : nodes) {
            for (int id = 1; id <= 3; id++) {
                int peer = id;
                InetSocketAddress at =
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(),
                                nodes.get(id - 1).transport.port());
                a.loop.post(() -> a.transport.setPeerAddress(peer, at));
            }
        }
        nodes.forEach(Node::start);
    }

    @AfterEach
    void stopNodes() throws InterruptedException {
        for (Node node : nodes) {
            node.stop();
        }
    }

    @Test
    void commandsSurviveTheLossOfTheLeaderAndARestartOfAllVoters() throws Exception {
        for (int id = 1; id <= 3; id++) {
            nodes.add(new Node(id, folder));
        }
        connect();
        assertEquals(1, nodes.get(0).add(1).response()[0]);
        assertEquals(3, nodes.get(1).add(2).response()[0]);
        int leader = 0;
        while (!nodes.get(leader).leads()) {
            leader = (leader + 1) % 3;
        }
        nodes.get(leader).stop();
        assertEquals(7, nodes.get((leader + 1) % 3).add(4).response()[0]);
        for (int i = 0; i < 3; i++) {
            if (i != leader) {
                nodes.get(i).stop();
            }
        }
        nodes.clear();
        for (int id = 1; id <= 3; id++) {
            nodes.add(new Node(id, folder));
        }
        connect();
        assertEquals(15, nodes.get(2).add(8).response()[0]);
    }

    @Test
    void malformedBytesCloseTheConnection() throws Exception {
        for (int id = 1; id <= 3; id++) {
            nodes.add(new Node(id, folder));
        }
        connect();
        InetSocketAddress at =
                new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), nodes.get(0).transport.port());
        byte[] greeting = TcpFrame.encodeGreeting("test".getBytes(), 2, 1);
        byte[] corrupted = TcpFrame.encode(new byte[] {1, 2, 3});
        corrupted[TcpFrame.HEADER_BYTES] ^= 1;
        byte[] oversized = new byte[TcpFrame.HEADER_BYTES];
        oversized[0] = 0x7f;
        for (byte[] malformed : List.of(corrupted, oversized)) {
            assertCloses(at, greeting, malformed);
        }
        assertCloses(at, TcpFrame.encodeGreeting("other".getBytes(), 2, 1));
        assertCloses(at, TcpFrame.encodeGreeting("test".getBytes(), 2, 3));
        assertCloses(at, "GET / HTTP/1.1\r\n\r\n".getBytes());
        assertTrue(nodes.get(0).add(1).isAccepted());
    }

    private static void assertCloses(InetSocketAddress at, byte[]... sent) throws IOException {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(30_000);
            for (byte[] bytes : sent) {
                socket.getOutputStream().write(bytes);
            }
            int end;
            try {
                end = socket.getInputStream().read();
            } catch (SocketException reset) {
                end = -1;
            }
            assertEquals(-1, end);
        }
    }
}
