// SPDX-License-Identifier: Apache-2.0
package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client of the platform's protocol on one connection, which reads whatever comes. */
final class PlatformClient implements AutoCloseable {
    private static final Pattern ID = Pattern.compile("\"id\":(\\d+)");
    private final Rig rig;
    private final String name;
    private final Socket socket;
    private final Map<Integer, CompletableFuture<String>> answers = new ConcurrentHashMap<>();
    private int lastId;

    PlatformClient(Rig rig, String name, int port) throws IOException {
        this.rig = rig;
        this.name = name;
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        Thread thread = new Thread(this::read, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void read() {
        try {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Matcher id = ID.matcher(line);
                if (id.find()) {
                    answers.get(Integer.parseInt(id.group(1))).complete(line);
                }
            }
        } catch (IOException e) {
            // The connection has ended; what was not answered stays so.
        }
        rig.note(name, "connection ended");
    }

    /** Sends a request; its answer is a line. */
    CompletableFuture<String> ask(String queryClass, String sql, long waitMillis)
            throws IOException {
        int id = ++lastId;
        CompletableFuture<String> answer = new CompletableFuture<>();
        answers.put(id, answer);
        String line =
                "{\"jsonrpc\":\"2.0\",\"id\":"
                        + id
                        + ",\"method\":\""
                        + queryClass
                        + "\",\"params\":{\"i\":\""
                        + String.format("%016x", ThreadLocalRandom.current().nextLong())
                        + "\",\"d\":"
                        + waitMillis
                        + ",\"content\":\""
                        + Base64.getEncoder().encodeToString(sql.getBytes(StandardCharsets.UTF_8))
                        + "\"}}\n";
        rig.note(name, "request " + id + " sent: " + queryClass + " '" + sql + "'");
        socket.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
        answer.orTimeout(waitMillis + Rig.LATE_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (text, error) ->
                                rig.note(
                                        name,
                                        error != null
                                                ? "request " + id + ": NO ANSWER, given up"
                                                : "request "
                                                        + id
                                                        + " answered: "
                                                        + text.substring(
                                                                0, Math.min(90, text.length()))
                                                        + " ("
                                                        + text.length()
                                                        + " bytes)"));
        return answer;
    }

    /** Asks until one request was served, so that what follows meets a program that has served. */
    void warmUp() throws Exception {
        for (int i = 0; i < 6; i++) {
            try {
                if (ask("lookup", "select rows=1", 4_000).get().contains("\"result\"")) {
                    return;
                }
            } catch (java.util.concurrent.ExecutionException e) {
                // Not yet: once more.
            }
        }
        throw new IllegalStateException("the first requests were not served");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
