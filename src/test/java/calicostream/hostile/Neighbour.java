// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A client that does nothing unusual: it asks again and again, and times the answers. */
final class Neighbour implements AutoCloseable {
    private static final long PAUSE_NANOS = 20_000_000;
    private final Thread thread;
    private final String name;
    private final long maxMillis;
    private final Callable<String> ask;
    private final AutoCloseable client;
    private volatile boolean ended;
    private volatile int answers;
    private volatile long slowestNanos;
    private volatile String firstFailure;

    /** Asks until it is closed; {@code ask} returns null, or what is wrong with the answer. */
    Neighbour(String name, Callable<String> ask, long maxMillis, AutoCloseable client) {
        this.name = name;
        this.maxMillis = maxMillis;
        this.ask = ask;
        this.client = client;
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (!ended) {
            long start = System.nanoTime();
            String failure;
            try {
                failure = ask.call();
            } catch (Exception e) {
                failure = e.toString();
            }
            slowestNanos = Math.max(slowestNanos, System.nanoTime() - start);
            if (failure == null) {
                answers++;
            } else if (firstFailure == null) {
                firstFailure = failure;
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }

    int answers() {
        return answers;
    }

    /** What is wrong with how it was served, or null. */
    String complaint() {
        long slowest = TimeUnit.NANOSECONDS.toMillis(slowestNanos);
        if (firstFailure != null) {
            return name + ": " + firstFailure;
        }
        if (answers == 0 || slowest > maxMillis) {
            return name + ": " + answers + " answers, the slowest after " + slowest + " ms";
        }
        return null;
    }

    @Override
    public String toString() {
        return name
                + " "
                + answers
                + " answers, slowest "
                + TimeUnit.NANOSECONDS.toMillis(slowestNanos)
                + " ms"
                + (firstFailure == null ? "" : ", " + firstFailure);
    }

    @Override
    public void close() throws Exception {
        ended = true;
        thread.join(TimeUnit.SECONDS.toMillis(30));
        client.close();
    }
}
