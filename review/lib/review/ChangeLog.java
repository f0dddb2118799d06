// SPDX-License-Identifier: Apache-2.0
package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A stand-in for the change log: numbered events, each follower gets those after the last it has. */
public final class ChangeLog implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    private final List<String> events = new ArrayList<>();

    ChangeLog() throws IOException {
        daemon(
                () -> {
                    while (true) {
                        Socket follower = server.accept();
                        daemon(() -> serve(follower));
                    }
                });
    }

    int port() {
        return server.getLocalPort();
    }

    /** An engine's entry. */
    public static String engine(String name, int port, String status, long sinceMs) {
        return ("{'name':'" + name + "','address':'127.0.0.1:" + port
                        + "','zone':'hall-a','type':'std-12','group':0,'status':'" + status
                        + "','weight':4,'since_ms':" + sinceMs + "}")
                .replace('\'', '"');
    }

    /** Adds an event; the first one holds the whole list. */
    public synchronized void tell(String... engines) {
        int seq = events.size() + 1;
        events.add(
                "{\"seq\":" + seq + ",\"fleet\":{\"index\":" + seq + ",\"snapshot\":" + (seq == 1)
                        + ",\"endpoints\":[" + String.join(",", engines) + "]}}");
        notifyAll();
    }

    private void serve(Socket follower) throws Exception {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(follower.getInputStream(), StandardCharsets.US_ASCII));
        int last = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.startsWith("Last-Event-ID: ")) {
                last = Integer.parseInt(line.substring(15).trim());
            }
        }
        OutputStream out = follower.getOutputStream();
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        while (true) {
            StringBuilder news = new StringBuilder();
            synchronized (this) {
                if (events.size() <= last) {
                    wait(1_000);
                }
                while (last < events.size()) {
                    last++;
                    news.append("id: ").append(last).append("\ndata: ")
                            .append(events.get(last - 1)).append("\n\n");
                }
            }
            write(out, news.length() == 0 ? ": here\n\n" : news.toString());
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
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
                                // The other side has gone.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
