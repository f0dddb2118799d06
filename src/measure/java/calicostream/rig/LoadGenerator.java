// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import calicostream.rig.OperationHistory.Answer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Clients in open loop: one connection to each front end, a request on each so often, whatever
 * became of those before. Every request and every end of one is recorded.
 */
final class LoadGenerator implements AutoCloseable {
    private static final Pattern ID = Pattern.compile("\"id\":(\\d+)");
    private static final int DEADLINE_MS = 4000;
    private final OperationHistory history;
    private final Map<Integer, Client> clients = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(FakeServers.daemons("load"));
    private final AtomicLong numbers = new AtomicLong();

    LoadGenerator(OperationHistory history, long everyMs) {
        this.history = history;
        timer.scheduleAtFixedRate(
                () -> clients.values().forEach(Client::ask),
                everyMs,
                everyMs,
                TimeUnit.MILLISECONDS);
    }

    /** From now on this front end is asked, there. */
    void begin(int front, int port) throws IOException {
        Client client = new Client(front, port);
        clients.put(front, client);
        FakeServers.daemon("client of " + front, client::read);
    }

    /**
     * This front end is asked nothing more; what is under way goes on. {@code gone}: the rig is
     * about to end that process.
     */
    void end(int front, boolean gone) {
        Client client = clients.remove(front);
        if (client != null && gone) {
            client.expected = true;
        }
    }

    /** Asks nothing more and waits until everything asked has its end. */
    void settle() throws Exception {
        timer.shutdown();
        timer.awaitTermination(ServerProcess.PATIENCE_MS, TimeUnit.MILLISECONDS);
        for (Client each : clients.values()) {
            Await.until(
                    () -> each.open.isEmpty(),
                    () -> "front end " + each.front + " owes " + each.open.size() + " answers");
        }
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        for (Client each : clients.values()) {
            each.socket.close();
        }
    }

    private final class Client {
        final int front;
        final Socket socket;
        final Map<Long, String> open = new ConcurrentHashMap<>();
        volatile boolean expected;
        private boolean broken;

        Client(int front, int port) throws IOException {
            this.front = front;
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
        }

        /**
         * On the timer's thread; a front end that reads nothing fills the socket only after some
         * thousand requests.
         */
        synchronized void ask() {
            if (broken || socket.isClosed()) {
                return;
            }
            long number = numbers.incrementAndGet();
            String id = String.format("%016x", number);
            open.put(number, id);
            long at = System.nanoTime();
            try {
                socket.getOutputStream()
                        .write(
                                ("{\"jsonrpc\":\"2.0\",\"id\":"
                                                + number
                                                + ",\"method\":\"lookup\",\"params\":{\"i\":\""
                                                + id
                                                + "\",\"d\":"
                                                + DEADLINE_MS
                                                + ",\"content\":\"c2VsZWN0IDE=\"}}\n")
                                        .getBytes(StandardCharsets.US_ASCII));
                history.add(new OperationHistory.Asked(id, front, at));
            } catch (IOException e) {
                open.remove(number);
                broken = true; // The reader notes what else was open on it.
            }
        }

        void read() {
            try (BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII))) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    Matcher id = ID.matcher(line);
                    if (id.find()) {
                        long number = Long.parseLong(id.group(1));
                        open.remove(number);
                        history.add(
                                new OperationHistory.Answered(
                                        String.format("%016x", number),
                                        front,
                                        System.nanoTime(),
                                        answer(line)));
                    }
                }
            } catch (IOException e) {
                // As below: the connection is over.
            }
            dropAll();
        }

        private synchronized void dropAll() {
            broken = true;
            open.forEach(
                    (number, id) ->
                            history.add(
                                    new OperationHistory.Dropped(
                                            id, front, System.nanoTime(), expected)));
            open.clear();
        }
    }

    private static Answer answer(String line) {
        if (line.contains("\"result\"")) {
            return Answer.SERVED;
        }
        return line.contains("\"code\":-32000") && line.contains("\"w\":")
                ? Answer.REFUSED
                : line.contains("not answered in time") ? Answer.DEADLINE : Answer.FAILED;
    }
}
