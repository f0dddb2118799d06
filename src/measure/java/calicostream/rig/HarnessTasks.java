// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import calicostream.lease.FencedActions;
import calicostream.lease.FencedResource;
import calicostream.lease.LeaseRejection;
import calicostream.lease.LeasedTask;
import calicostream.lease.process.LeasedTaskProvider;
import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A leased task in a member's own process: while it holds, it acts at the rig's resource every so
 * often.
 */
public final class HarnessTasks implements LeasedTaskProvider {
    static final String LEASE = "rig";

    /** The resource's port, and the member's name. */
    static final String PROPERTY = "calicostream.rig.resource";

    private static final long EVERY_NANOS = 20_000_000;

    @Override
    public List<LeasedTask> tasks() {
        String[] words = System.getProperty(PROPERTY).split(" ");
        return List.of(new Acting(new Remote(Integer.parseInt(words[0]), words[1])));
    }

    private static final class Acting implements LeasedTask {
        private final Remote resource;
        private long number;
        private long nextAt;
        private boolean begun;

        Acting(Remote resource) {
            this.resource = resource;
        }

        @Override
        public String lease() {
            return LEASE;
        }

        @Override
        public void step(FencedActions acts, long nowNanos) {
            if (!begun || nowNanos - nextAt >= 0) {
                begun = true;
                nextAt = nowNanos + EVERY_NANOS;
                acts.executeAt(resource, ++number);
            }
        }
    }

    /**
     * The resource over a connection that is opened anew when it breaks; a broken act counts as one
     * that may have been done.
     */
    private static final class Remote implements FencedResource<Long, String> {
        private final int port;
        private final String who;
        private Socket socket;
        private BufferedReader in;

        Remote(int port, String who) {
            this.port = port;
            this.who = who;
        }

        @Override
        public FencedResult<String> execute(String lease, long token, Long number) {
            String words = lease + " " + token + " " + who + " " + number;
            try {
                if (socket == null) {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setTcpNoDelay(true);
                    in =
                            new BufferedReader(
                                    new InputStreamReader(
                                            socket.getInputStream(), StandardCharsets.US_ASCII));
                }
                call("READY " + words); // The check is behind it, the act before it: here the rig
                // stops the process.
                String answer = call("ACT " + words);
                return answer.equals("DONE")
                        ? FencedResult.completed(answer)
                        : FencedResult.rejected(
                                new LeaseRejection.TokenOutdated(
                                        lease, token, Long.parseLong(answer.split(" ")[1])));
            } catch (IOException e) {
                socket = null;
                throw new UncheckedIOException("the resource does not answer", e);
            }
        }

        private String call(String line) throws IOException {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            String answer = in.readLine();
            if (answer == null) {
                throw new EOFException("the resource ended the connection");
            }
            return answer;
        }
    }
}
