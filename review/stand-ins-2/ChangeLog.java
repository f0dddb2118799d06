// SPDX-License-Identifier: Apache-2.0
package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A sound change log: all events after the one that is asked for, and a comment each second. */
final class ChangeLog implements AutoCloseable {
    private final Rig rig;
    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final List<String> events = new ArrayList<>();
    private final Map<String, Integer> engines = new LinkedHashMap<>();

    /** Starts with a complete list of ready engines that have been up for long. */
    ChangeLog(Rig rig, Map<String, Integer> portByEngine) throws IOException {
        this.rig = rig;
        engines.putAll(portByEngine);
        List<String> entries = new ArrayList<>();
        engines.forEach((name, port) -> entries.add(entry(name, port, "Ready")));
        events.add(event(1, true, entries));
        daemon(this::accept);
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "change log");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    String first() {
        return events.get(0);
    }

    private static String entry(String name, int port, String status) {
        return ("{'name':'"
                        + name
                        + "','address':'127.0.0.1:"
                        + port
                        + "','zone':'hall-a','type':'std-12','group':0,'status':'"
                        + status
                        + "','weight':4,'since_ms':0}")
                .replace('\'', '"');
    }

    private static String event(int seq, boolean snapshot, List<String> entries) {
        return ("{'seq':" + seq + ",'fleet':{'index':" + seq + ",'snapshot':" + snapshot)
                        .replace('\'', '"')
                + ",\"endpoints\":"
                + entries
                + "}}";
    }

    /** Tells a change of one engine. */
    void tell(String engine, String status) {
        synchronized (events) {
            int seq = events.size() + 1;
            events.add(event(seq, false, List.of(entry(engine, engines.get(engine), status))));
            events.notifyAll();
        }
        rig.note("log", engine + " is " + status);
    }

    private void accept() {
        try {
            while (true) {
                Socket follower = server.accept();
                daemon(() -> serve(follower));
            }
        } catch (IOException e) {
            // The run is over.
        }
    }

    private void serve(Socket follower) {
        try (follower) {
            follower.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    follower.getInputStream(), StandardCharsets.US_ASCII));
            int heard = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); ) {
                if (line.toLowerCase().startsWith("last-event-id:")) {
                    heard = Integer.parseInt(line.substring(14).trim());
                }
                line = in.readLine();
            }
            write(follower, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
            while (true) {
                List<String> news;
                synchronized (events) {
                    if (heard >= events.size()) {
                        events.wait(1000);
                    }
                    news = List.copyOf(events.subList(Math.min(heard, events.size()), events.size()));
                }
                if (news.isEmpty()) {
                    write(follower, ": here\n\n");
                }
                for (String event : news) {
                    heard++;
                    write(follower, "id: " + heard + "\ndata: " + event + "\n\n");
                }
            }
        } catch (IOException | InterruptedException e) {
            // The follower has gone.
        }
    }

    private static void write(Socket follower, String text) throws IOException {
        follower.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
