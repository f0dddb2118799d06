// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A process that the rig started: its log is read as it comes, signals go to its own id alone, and
 * it never outlives the rig. Any thread.
 */
final class ServerProcess implements AutoCloseable {
    static final long PATIENCE_MS = 30_000;
    private static final Set<Process> ALL = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> ALL.forEach(Process::destroyForcibly)));
    }

    private final String name;
    private final Process process;
    private final List<String> lines = new ArrayList<>();
    private boolean ended;

    ServerProcess(String name, List<String> command, Map<String, String> environment)
            throws IOException {
        this.name = name;
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        ALL.add(process);
        BufferedReader log = process.inputReader(StandardCharsets.UTF_8);
        Thread reader = new Thread(() -> read(log), "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(BufferedReader log) {
        try {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                add(line);
            }
        } catch (IOException e) {
            add("the rig lost this log: " + e);
        }
        synchronized (this) {
            ended = true;
            notifyAll();
        }
    }

    private synchronized void add(String line) {
        lines.add(line);
        notifyAll();
    }

    synchronized List<String> lines() {
        return List.copyOf(lines);
    }

    synchronized boolean hasSaid(String text) {
        return lines.stream().anyMatch(line -> line.contains(text));
    }

    /** The first line that has this text, waited for. */
    synchronized String awaitLine(String text) throws InterruptedException {
        long end = System.nanoTime() + PATIENCE_MS * 1_000_000;
        Predicate<String> has = line -> line.contains(text);
        Optional<String> found = lines.stream().filter(has).findFirst();
        while (found.isEmpty() && !ended && System.nanoTime() < end) {
            wait(100);
            found = lines.stream().filter(has).findFirst();
        }
        return found.orElseThrow(
                () ->
                        new AssertionError(
                                name
                                        + (ended ? " ended and" : "")
                                        + " did not say '"
                                        + text
                                        + "':\n"
                                        + String.join("\n", lines)));
    }

    void assertAlive() {
        if (!process.isAlive()) {
            throw new AssertionError(name + " has ended:\n" + String.join("\n", lines()));
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /**
     * By the name that {@code kill} knows it by. STOP has taken hold when this returns, where the
     * system tells it.
     */
    void signal(String signal) throws Exception {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (signal.equals("STOP") && Files.exists(stat())) {
                // One thread hears of it and tells the others: until it has run, on a busy machine,
                // they go on.
                Await.until(
                        () -> Files.readString(stat()).replaceFirst(".*\\) ", "").startsWith("T"),
                        () -> name + " does not stop");
            }
        }
    }

    private Path stat() {
        return Path.of("/proc", Long.toString(process.pid()), "stat");
    }

    /** SIGKILL, and gone. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        awaitExit();
    }

    int awaitExit() throws InterruptedException {
        if (!process.waitFor(PATIENCE_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " did not end:\n" + String.join("\n", lines()));
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        ALL.remove(process);
    }
}
