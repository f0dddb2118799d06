// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** JSON-RPC clients and RESP engines. */
final class FakePlatform implements TestServer {
    private final Map<Integer, CompletableFuture<String>> answers = new ConcurrentHashMap<>();
    private Socket client;
    private int lastId;

    @Override
    public Engine engine() throws IOException {
        return new RespEngine();
    }

    @Override
    public String[] deploy() {
        return new String[0];
    }

    @Override
    public void connect(ServerProgram program) throws IOException {
        client = new Socket(InetAddress.getLoopbackAddress(), program.port("listening on port"));
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8));
        daemon(
                () -> {
                    for (String line = in.readLine(); line != null; line = in.readLine()) {
                        Matcher id = Pattern.compile("\"id\":(\\d+)").matcher(line);
                        if (id.find()) {
                            answers.get(Integer.parseInt(id.group(1))).complete(read(line));
                        }
                    }
                });
    }

    private static String read(String line) {
        Matcher rows = Pattern.compile("\"content\":\"(.*?)\"").matcher(line);
        if (rows.find()) {
            return "served "
                    + new String(Base64.getDecoder().decode(rows.group(1)), StandardCharsets.UTF_8)
                            .trim();
        }
        boolean refused =
                line.contains("\"code\":-32000") && line.matches(".*\"data\":\\{\"w\":\\d+\\}.*");
        return refused ? "refused" : line.contains("not answered in time") ? "deadline" : "failed";
    }

    @Override
    public Answer ask(String queryClass, String sql, int waitMs) throws IOException {
        int id = ++lastId;
        CompletableFuture<String> answer = new CompletableFuture<>();
        answers.put(id, answer);
        send(
                "{\"jsonrpc\":\"2.0\",\"id\":"
                        + id
                        + ",\"method\":\""
                        + queryClass
                        + "\",\"params\":{\"i\":\""
                        + String.format("%016x", id)
                        + "\",\"d\":"
                        + waitMs
                        + ",\"content\":\""
                        + Base64.getEncoder().encodeToString(sql.getBytes(StandardCharsets.UTF_8))
                        + "\"}}");
        return new Answer() {
            @Override
            public String await() throws Exception {
                return answer.get(ServerProgram.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }

            @Override
            public void cancel() throws IOException {
                send(
                        "{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":"
                                + id
                                + "}}");
            }
        };
    }

    private void send(String line) throws IOException {
        client.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    interface Work {
        void run() throws Exception;
    }

    static void daemon(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The other side has gone; what a test waits for then does not
                                // come, and it says so.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads one connection and sorts what comes on it by attempt. */
    private static final class RespEngine implements Engine {
        final FakeRespEngine stand = new FakeRespEngine();
        final Arrivals asked = new Arrivals();
        final Map<String, CountDownLatch> stops = new ConcurrentHashMap<>();

        RespEngine() throws IOException {
            daemon(
                    () -> {
                        while (true) {
                            String[] words = stand.command().split("\\|", 4);
                            if (words[0].equals("REQ")) {
                                stops.put(words[1], new CountDownLatch(1));
                                asked.add(new RespAsked(words[1], words[3]));
                            } else if (words[0].equals("STOP")) {
                                stops.get(words[1]).countDown();
                            }
                        }
                    });
        }

        @Override
        public InetSocketAddress address() {
            return stand.address();
        }

        @Override
        public Asked next() throws InterruptedException {
            return asked.next();
        }

        @Override
        public int waiting() {
            return asked.waiting();
        }

        @Override
        public void die() throws IOException {
            stand.die();
        }

        private final class RespAsked implements Asked {
            final String id;
            final String sql;

            RespAsked(String id, String sql) {
                this.id = id;
                this.sql = sql;
            }

            @Override
            public String sql() {
                return sql;
            }

            @Override
            public void serve(String row) throws IOException {
                stand.answer(id + "|DONE|sheets=1|" + row + "\n");
            }

            @Override
            public void full() throws IOException {
                stand.answer(id + "|WAIT|-|");
            }

            @Override
            public void broke() throws IOException {
                stand.answer(id + "|BROKE|-|");
            }

            @Override
            public void half() throws IOException {
                stand.answer(id + "|DONE|sheets=2|half\n");
            }

            @Override
            public void awaitCancel() throws InterruptedException {
                if (!stops.get(id).await(ServerProgram.PATIENCE_MS, TimeUnit.MILLISECONDS)) {
                    throw new AssertionError("the attempt was not given up");
                }
            }
        }
    }
}
