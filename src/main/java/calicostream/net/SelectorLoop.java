// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import calicostream.core.Clock;
import calicostream.core.Deadlines;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread that owns all state: sockets, deadlines, and what other threads hand over. */
public final class SelectorLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SelectorLoop.class);
    private static final int THROUGH =
            32 * 1024; // bytes that pass in one go: also the most read in one turn

    private static final int MOST_FAILURES =
            10; // of the selector in a row, after which the system itself fails
    private static final long NOT_AT_ALL = -1;
    private static final long LOOK_AGAIN =
            5_000_000; // ns of work after which urgent channels are served again

    /** What a selection key's attachment does when its channel is ready. */
    interface ChannelHandler {
        void onReady() throws IOException;

        /** Whether it is served before all that is not. */
        default boolean isUrgent() {
            return false;
        }

        /** It could not go on: what it was doing is given up, so that it does not spin. */
        void onFailure();

        /** Its key has been replaced by this one, which waits for the same. */
        void onKeyReplaced(SelectionKey to);
    }

    /**
     * How a selector is waited on: for at most so many milliseconds, or 0 for as long as it takes,
     * or not at all where negative.
     */
    interface SelectStrategy {
        void select(Selector selector, Consumer<SelectionKey> ready, long ms) throws IOException;
    }

    private final Clock clock;
    private final Deadlines deadlines;
    private final SelectStrategy waiting;
    private volatile Selector selector;
    private final long mostHeld = Runtime.getRuntime().maxMemory() / 4;
    private final RingBuffer.MemoryUsage bufferMemory = new RingBuffer.MemoryUsage();
    private final ByteBuffer transferBuffer = ByteBuffer.allocateDirect(THROUGH);
    private final ConcurrentLinkedQueue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final Set<SelectionKey> ready =
            new LinkedHashSet<>(); // in the system's order: who has waited longest first
    private final ArrayDeque<Runnable> runBeforeSelect = new ArrayDeque<>();
    private List<Runnable> runNextIteration = new ArrayList<>();
    private boolean stopped;
    private int failures; // of the selector, one after another
    private long lookedAt; // ns: when urgent channels were last looked for

    public SelectorLoop(Clock clock, Deadlines deadlines) throws IOException {
        this(
                clock,
                deadlines,
                (on, ready, ms) -> {
                    if (ms < 0) {
                        on.selectNow(ready);
                    } else {
                        on.select(ready, ms);
                    }
                });
    }

    SelectorLoop(Clock clock, Deadlines deadlines, SelectStrategy waiting) throws IOException {
        this.waiting = waiting;
        this.clock = clock;
        this.deadlines = deadlines;
        selector = Selector.open();
    }

    public Clock clock() {
        return clock;
    }

    public Deadlines deadlines() {
        return deadlines;
    }

    /**
     * The buffer through which bytes pass between rings and channels; empty outside of one such
     * call.
     */
    ByteBuffer transferBuffer() {
        return transferBuffer;
    }

    /** What all rings of this loop take, and what waits for room in them. */
    public RingBuffer.MemoryUsage bufferMemory() {
        return bufferMemory;
    }

    /** Whether they take so much that who holds more than a little must give it up. */
    public boolean isUnderMemoryPressure() {
        return bufferMemory.bytes() > mostHeld;
    }

    /** From any thread: runs on the loop's thread. */
    public void post(Runnable work) {
        posted.add(work);
        selector.wakeup();
    }

    /**
     * From the loop's thread: runs before the loop next waits, after what runs now has returned.
     */
    public void runBeforeSelect(Runnable work) {
        runBeforeSelect.add(work);
    }

    /** From the loop's thread: runs once every other channel has had its turn. */
    public void runNextIteration(Runnable work) {
        runNextIteration.add(work);
    }

    public void stop() {
        stopped = true;
    }

    SelectionKey register(SelectableChannel channel, int interest, ChannelHandler ready)
            throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, ready);
    }

    /**
     * From the loop's thread: the selector lets go of a channel now, so that closing it takes hold
     * at once and not with its next turn.
     */
    void deregister(SelectionKey key) throws IOException {
        key.cancel();
        select(NOT_AT_ALL);
    }

    /**
     * A selector may fail by itself; the channels have no part in that and go on with another one.
     */
    private void select(long ms) throws IOException {
        try {
            waiting.select(selector, ready::add, ms);
            failures = 0;
        } catch (IOException e) {
            if (++failures > MOST_FAILURES) {
                throw e;
            }
            LOG.error(
                    "the selector failed, its {} channels move to another: {}",
                    selector.keys().size(),
                    e.toString());
            Selector failed = selector;
            selector = Selector.open();
            for (SelectionKey key : failed.keys()) {
                if (key.isValid()) {
                    ChannelHandler ready = (ChannelHandler) key.attachment();
                    int interest = key.interestOps();
                    key.cancel();
                    ready.onKeyReplaced(key.channel().register(selector, interest, ready));
                }
            }
            failed.close();
        }
    }

    /** Serves until stopped. What one channel's bytes bring about never ends the loop. */
    public void run() throws IOException {
        while (!stopped) {
            long wait = deadlines.next() - clock.now();
            if (!posted.isEmpty() || !runNextIteration.isEmpty() || wait <= 0 || !ready.isEmpty()) {
                select(NOT_AT_ALL);
            } else {
                select(wait == Deadlines.NEVER ? 0 : Math.max(1, Math.min(wait / 1000, 1000)));
            }
            serveUrgent();
            List<SelectionKey> keys = List.copyOf(ready);
            ready.clear();
            for (SelectionKey key : keys) {
                if (key.isValid()) {
                    ready((ChannelHandler) key.attachment());
                    lookAgain();
                }
            }
            List<Runnable> turn = runNextIteration;
            runNextIteration = new ArrayList<>();
            for (Runnable work : turn) {
                guarded(work);
                lookAgain();
            }
            for (Runnable work = posted.poll(); work != null; work = posted.poll()) {
                guarded(work);
            }
            guarded(() -> deadlines.run(clock.now()));
            for (Runnable work = runBeforeSelect.poll();
                    work != null;
                    work = runBeforeSelect.poll()) {
                guarded(work);
            }
        }
        selector.close();
    }

    private void serveUrgent() {
        for (SelectionKey key : List.copyOf(ready)) {
            if (key.isValid() && ((ChannelHandler) key.attachment()).isUrgent()) {
                ready.remove(key);
                ready((ChannelHandler) key.attachment());
            }
        }
        lookedAt = System.nanoTime();
    }

    /** A turn may be long: what is urgent does not wait for its end. */
    private void lookAgain() throws IOException {
        if (System.nanoTime() - lookedAt > LOOK_AGAIN) {
            select(NOT_AT_ALL);
            serveUrgent();
        }
    }

    private static void ready(ChannelHandler channel) {
        try {
            channel.onReady();
        } catch (IOException e) {
            LOG.warn("channel: {}", e.toString());
            guarded(channel::onFailure);
        } catch (RuntimeException | OutOfMemoryError e) {
            guarded(() -> LOG.error("unexpected", e));
            guarded(channel::onFailure);
        }
    }

    /** Memory may run short for one piece of work; the others must not end with it. */
    private static void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | OutOfMemoryError e) {
            try {
                LOG.error("unexpected", e);
            } catch (OutOfMemoryError again) {
                // Not even the line could be written; the next piece of work may fare better.
            }
        }
    }
}
