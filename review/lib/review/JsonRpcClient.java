// SPDX-License-Identifier: Apache-2.0
package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client of the platform's protocol on one connection, which it reads all the time. */
public final class JsonRpcClient implements AutoCloseable {
    private static final Pattern ID = Pattern.compile("\"id\":(\\d+)");
    private final Rig rig;
    private final Socket socket;
    private final Map<Integer, CompletableFuture<String>> open = new ConcurrentHashMap<>();
    private int lastId;

    public JsonRpcClient(Rig rig, int port) throws IOException {
        this.rig = rig;
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        ChangeLog.daemon(
                () -> {
                    for (String line = in.readLine(); line != null; line = in.readLine()) {
                        Matcher id = ID.matcher(line);
                        if (id.find()) {
                            open.get(Integer.parseInt(id.group(1))).complete(line);
                        }
                    }
                    open.values().forEach(each -> each.complete("the connection ended"));
                });
    }

    /** Sends a request; the answer's line, or null where none came in this time. */
    public String ask(String queryClass, String sql, int deadlineMs, long patienceMs)
            throws Exception {
        int id;
        CompletableFuture<String> answer = new CompletableFuture<>();
        synchronized (this) {
            id = ++lastId;
            open.put(id, answer);
            String line =
                    "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + queryClass
                            + "\",\"params\":{\"i\":\""
                            + String.format("%016x", ThreadLocalRandom.current().nextLong())
                            + "\",\"d\":" + deadlineMs + ",\"content\":\""
                            + Base64.getEncoder().encodeToString(sql.getBytes(StandardCharsets.UTF_8))
                            + "\"}}\n";
            rig.record("client: request " + id + ", " + queryClass + " '" + sql + "'");
            socket.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
        }
        try {
            String line = answer.get(patienceMs, TimeUnit.MILLISECONDS);
            rig.record(
                    "client: request " + id + " is answered "
                            + (line.length() > 150 ? line.substring(0, 150) + " ..." : line));
            return line;
        } catch (TimeoutException e) {
            rig.record("client: request " + id + " has NO ANSWER after " + patienceMs + " ms");
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
