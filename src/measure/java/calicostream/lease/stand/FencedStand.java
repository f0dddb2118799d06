// SPDX-License-Identifier: Apache-2.0
package calicostream.lease.stand;

import calicostream.lease.Fence;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A resource that takes acts over TCP, one line each, and checks their tokens. An actor that has checked its lease first says
 * {@code check LEASE TOKEN WHO NUMBER} and waits for {@code go}, which may be held back as long as a test likes; then it says
 * {@code act} with the same words and hears {@code done} or {@code old HIGHEST}. Any thread; the acts are in one order, under one lock.
 */
public final class FencedStand implements AutoCloseable {
    /** An act that arrived, by this process's monotonic clock; {@code done} if it was not refused. */
    public record Act(String lease, long token, String who, long number, long at, boolean done) { }

    private static final long PATIENCE_S = 60;
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private boolean fenced = true;
    private final Consumer<Act> heard;
    private final Fence fence = new Fence();
    private final List<Act> acts = new ArrayList<>();
    private final Set<String> held = new HashSet<>();
    private final Set<String> waiting = new HashSet<>();
    private final Set<Socket> open = new HashSet<>();

    /** @param heard hears of each act as it arrives, under this stand's lock */
    public FencedStand(Consumer<Act> heard) throws IOException {
        this.heard = heard;
        start("fenced stand", this::take);
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The peer, or this stand, has ended: what was heard is recorded.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** What a process needs on its command line to act here. */
    public List<String> options(String who) {
        return List.of("-Dcalicostream.lease.tasks=" + ActingTasks.class.getName(), "-D" + ActingTasks.PORT + "=" + port(),
                "-D" + ActingTasks.WHO + "=" + who);
    }

    private void take() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            synchronized (this) {
                open.add(socket);
            }
            start("actor", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            Writer out = new java.io.OutputStreamWriter(socket.getOutputStream(), StandardCharsets.US_ASCII);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                String answer = words[0].equals("check") ? checked(words[3]) : act(words[1], Long.parseLong(words[2]), words[3], Long.parseLong(words[4]));
                out.write(answer + "\n");
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** From now on it takes acts under any token, which no real resource may: what judges the acts must see it. */
    public synchronized void leaveFenceOut() {
        fenced = false;
    }

    private synchronized String checked(String who) throws InterruptedException {
        waiting.add(who);
        notifyAll();
        while (held.contains(who)) {
            wait();
        }
        waiting.remove(who);
        return "go";
    }

    private synchronized String act(String lease, long token, String who, long number) {
        boolean refused = fence.admit(lease, token).isPresent() && fenced;
        Act act = new Act(lease, token, who, number, System.nanoTime(), !refused);
        acts.add(act);
        heard.accept(act);
        notifyAll();
        return refused ? "old " + fence.highest(lease) : "done";
    }

    /** From now on that actor gets no {@code go}; returns once it waits for one, so it has checked and not yet acted. */
    public synchronized void hold(String who) throws InterruptedException {
        held.add(who);
        await("held", () -> waiting.contains(who));
    }

    public synchronized void let(String who) {
        held.remove(who);
        notifyAll();
    }

    /** The first act of that kind, waited for. */
    public synchronized Act await(Predicate<Act> wanted) throws InterruptedException {
        await("acted", () -> acts.stream().anyMatch(wanted));
        return acts.stream().filter(wanted).findFirst().orElseThrow();
    }

    private void await(String what, java.util.function.BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!condition.getAsBoolean()) {
            long left = end - System.nanoTime();
            if (left <= 0) {
                throw new AssertionError("not " + what + ", last acts " + acts.subList(Math.max(0, acts.size() - 5), acts.size()));
            }
            wait(left / 1_000_000 + 1);
        }
    }

    public synchronized List<Act> acts() {
        return List.copyOf(acts);
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        for (Socket each : open) {
            each.close();
        }
        held.clear();
        notifyAll();
    }
}
