// SPDX-License-Identifier: Apache-2.0
package calicostream.lease.stand;

import calicostream.lease.Acts;
import calicostream.lease.Fenced;
import calicostream.lease.LeaseRejection;
import calicostream.lease.Task;
import calicostream.lease.process.TaskSource;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** In a process of the program: one task, {@code task}, that acts on a {@link FencedStand} at each step. */
public final class ActingTasks implements TaskSource {
    public static final String LEASE = "task";
    static final String PORT = "calicostream.lease.stand.port";
    static final String WHO = "calicostream.lease.stand.who";

    @Override
    public List<Task> tasks() {
        return List.of(new Acting(Integer.getInteger(PORT), System.getProperty(WHO)));
    }

    /** The resource as the process reaches it. It waits for the answer on the member's thread, as no task of the product may. */
    private static final class Acting implements Task, Fenced<Long, Void> {
        private final int port;
        private final String who;
        private Socket socket;
        private BufferedReader in;
        private long number;

        Acting(int port, String who) {
            this.port = port;
            this.who = who;
        }

        @Override
        public String lease() {
            return LEASE;
        }

        @Override
        public void step(Acts acts, long nowNanos) {
            acts.at(this, ++number);
        }

        @Override
        public Outcome<Void> act(String lease, long token, Long act) {
            try {
                if (socket == null) {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setTcpNoDelay(true);
                    in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                }
                String words = " " + lease + " " + token + " " + who + " " + act;
                ask("check" + words);
                String answer = ask("act" + words);
                return answer.startsWith("old ")
                        ? Outcome.refused(new LeaseRejection.TokenOutdated(lease, token, Long.parseLong(answer.substring(4)))) : Outcome.done(null);
            } catch (IOException e) {
                throw new IllegalStateException("the resource can't be reached", e);
            }
        }

        private String ask(String line) throws IOException {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            String answer = in.readLine();
            if (answer == null) {
                throw new IOException("closed");
            }
            return answer;
        }
    }
}
