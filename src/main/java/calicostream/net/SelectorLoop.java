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
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The server's event loop: one thread that owns all state and serves sockets, deadlines and tasks.
 * Only {@link #post} may be called from other threads. A failure while one channel or task is
 * served, an {@link Error} included, is logged and never ends the loop.
 */
public final class SelectorLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SelectorLoop.class);

    /** Bytes that pass between a channel and a buffer at once: the most read in one iteration. */
    private static final int TRANSFER_BUFFER_BYTES = 32 * 1024;

    /** After so many failures of the selector in a row, the system itself is at fault. */
    private static final int MAX_SELECTOR_FAILURES = 10;

    private static final long DO_NOT_WAIT = -1;
    private static final long WAIT_FOR_EVENT = 0;
    private static final long MAX_WAIT_MILLIS = 1000;
    private static final long MICROS_PER_MILLI = 1000;

    /** Urgent channels are served again after so much work on others. */
    private static final long URGENT_INTERVAL_NANOS = 5_000_000;

    /** Buffers may use the heap's size divided by this number. */
    private static final int BUFFER_HEAP_DIVISOR = 4;

    /** Serves one registered channel. */
    interface ChannelHandler {
        /** The channel is ready for an operation that its key waits for. */
        void onReady() throws IOException;

        /** Whether the channel is served before those that are not urgent. */
        default boolean isUrgent() {
            return false;
        }

        /** {@link #onReady} has failed; the handler must not be ready again at once. */
        void onFailure();

        /** The channel is registered with another selector, for the same operations. */
        void onKeyReplaced(SelectionKey replacement);
    }

    /** How the loop waits for its selector; tests replace it to inject failures. */
    interface SelectStrategy {
        /**
         * Waits for events and passes the keys of ready channels on.
         *
         * @param timeoutMillis how long to wait; 0 for as long as it takes, negative for not at all
         */
        void select(Selector selector, Consumer<SelectionKey> ready, long timeoutMillis)
                throws IOException;
    }

    private final Clock clock;
    private final Deadlines deadlines;
    private final SelectStrategy selectStrategy;
    private final long maxBufferMemory = Runtime.getRuntime().maxMemory() / BUFFER_HEAP_DIVISOR;
    private final RingBuffer.MemoryUsage bufferMemory = new RingBuffer.MemoryUsage();
    private final ByteBuffer transferBuffer = ByteBuffer.allocateDirect(TRANSFER_BUFFER_BYTES);
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private final Queue<Runnable> tasksBeforeSelect = new ArrayDeque<>();

    /** In the system's order: the channel that has waited longest comes first. */
    private final Set<SelectionKey> readyKeys = new LinkedHashSet<>();

    private List<Runnable> nextIterationTasks = new ArrayList<>();
    private volatile Selector selector;
    private boolean stopped;
    private int selectorFailures;
    private long urgentServedAtNanos;

    /**
     * Creates a loop that does not run yet.
     *
     * @param clock the time of deadlines, in microseconds
     * @param deadlines what is due when; used by the loop's thread alone
     * @throws IOException where no selector can be opened
     */
    public SelectorLoop(Clock clock, Deadlines deadlines) throws IOException {
        this(clock, deadlines, SelectorLoop::selectByTimeout);
    }

    SelectorLoop(Clock clock, Deadlines deadlines, SelectStrategy selectStrategy)
            throws IOException {
        this.selectStrategy = selectStrategy;
        this.clock = clock;
        this.deadlines = deadlines;
        selector = Selector.open();
    }

    private static void selectByTimeout(
            Selector selector, Consumer<SelectionKey> ready, long timeoutMillis)
            throws IOException {
        if (timeoutMillis < 0) {
            selector.selectNow(ready);
        } else {
            selector.select(ready, timeoutMillis);
        }
    }

    /** The time of deadlines. */
    public Clock clock() {
        return clock;
    }

    /** The deadlines that this loop serves. */
    public Deadlines deadlines() {
        return deadlines;
    }

    /** The direct buffer for transfers to and from channels; empty outside of one transfer. */
    ByteBuffer transferBuffer() {
        return transferBuffer;
    }

    /** The memory of all buffers of this loop, and of data that waits for room in them. */
    public RingBuffer.MemoryUsage bufferMemory() {
        return bufferMemory;
    }

    /** Whether buffers use so much memory that connections with large ones must be closed. */
    public boolean isUnderMemoryPressure() {
        return bufferMemory.bytes() > maxBufferMemory;
    }

    /** Runs a task on the loop's thread; may be called from any thread. */
    public void post(Runnable task) {
        postedTasks.add(task);
        selector.wakeup();
    }

    /** Runs a task before the loop next waits, after the current one has returned. */
    public void runBeforeSelect(Runnable task) {
        tasksBeforeSelect.add(task);
    }

    /** Runs a task once every other channel that is ready was served. */
    public void runNextIteration(Runnable task) {
        nextIterationTasks.add(task);
    }

    /** Ends {@link #run} after the current iteration. */
    public void stop() {
        stopped = true;
    }

    /** Makes a channel non-blocking and waits for its operations. */
    SelectionKey register(SelectableChannel channel, int interest, ChannelHandler handler)
            throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, handler);
    }

    /** Deregisters a channel at once, so that closing it does not wait for the next iteration. */
    void deregister(SelectionKey key) throws IOException {
        key.cancel();
        select(DO_NOT_WAIT);
    }

    /** A selector may fail by itself; its channels are sound and go on with another one. */
    private void select(long timeoutMillis) throws IOException {
        try {
            selectStrategy.select(selector, readyKeys::add, timeoutMillis);
            selectorFailures = 0;
        } catch (IOException e) {
            selectorFailures++;
            if (selectorFailures > MAX_SELECTOR_FAILURES) {
                throw e;
            }
            replaceSelector(e);
        }
    }

    private void replaceSelector(IOException cause) throws IOException {
        Selector failed = selector;
        LOG.error(
                "selector failed, registering {} channels with another: {}",
                failed.keys().size(),
                cause.toString());
        selector = Selector.open();
        for (SelectionKey key : failed.keys()) {
            if (key.isValid()) {
                ChannelHandler handler = (ChannelHandler) key.attachment();
                int interest = key.interestOps();
                key.cancel();
                handler.onKeyReplaced(key.channel().register(selector, interest, handler));
            }
        }
        failed.close();
    }

    /**
     * Serves on the calling thread until {@link #stop}.
     *
     * @throws IOException where selecting keeps failing
     */
    public void run() throws IOException {
        while (!stopped) {
            select(selectTimeoutMillis());
            serveUrgent();
            serveReady();
            runNextIterationTasks();
            runAll(postedTasks);
            runGuarded(() -> deadlines.run(clock.now()));
            runAll(tasksBeforeSelect);
        }
        selector.close();
    }

    private long selectTimeoutMillis() {
        long waitMicros = deadlines.next() - clock.now();
        boolean hasWork =
                !postedTasks.isEmpty() || !nextIterationTasks.isEmpty() || !readyKeys.isEmpty();
        if (hasWork || waitMicros <= 0) {
            return DO_NOT_WAIT;
        }
        if (waitMicros == Deadlines.NEVER) {
            return WAIT_FOR_EVENT;
        }
        return Math.max(1, Math.min(waitMicros / MICROS_PER_MILLI, MAX_WAIT_MILLIS));
    }

    private void serveReady() throws IOException {
        List<SelectionKey> keys = List.copyOf(readyKeys);
        readyKeys.clear();
        for (SelectionKey key : keys) {
            if (key.isValid()) {
                serve((ChannelHandler) key.attachment());
                serveUrgentIfDue();
            }
        }
    }

    private void runNextIterationTasks() throws IOException {
        List<Runnable> tasks = nextIterationTasks;
        nextIterationTasks = new ArrayList<>();
        for (Runnable task : tasks) {
            runGuarded(task);
            serveUrgentIfDue();
        }
    }

    private static void runAll(Queue<Runnable> tasks) {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            runGuarded(task);
        }
    }

    private void serveUrgent() {
        for (SelectionKey key : List.copyOf(readyKeys)) {
            if (key.isValid() && ((ChannelHandler) key.attachment()).isUrgent()) {
                readyKeys.remove(key);
                serve((ChannelHandler) key.attachment());
            }
        }
        urgentServedAtNanos = System.nanoTime();
    }

    /** An iteration may be long: urgent channels do not wait for its end. */
    private void serveUrgentIfDue() throws IOException {
        if (System.nanoTime() - urgentServedAtNanos > URGENT_INTERVAL_NANOS) {
            select(DO_NOT_WAIT);
            serveUrgent();
        }
    }

    private static void serve(ChannelHandler handler) {
        try {
            handler.onReady();
        } catch (IOException e) {
            LOG.warn("channel failed: {}", e.toString());
            runGuarded(handler::onFailure);
        } catch (RuntimeException | Error e) {
            runGuarded(() -> LOG.error("unexpected failure of a channel", e));
            runGuarded(handler::onFailure);
        }
    }

    /** Stack or memory may run short for one task; the others must not end with it. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            try {
                LOG.error("unexpected failure of a task", e);
            } catch (Error again) {
                // Not even the log line could be written; the next task may succeed.
            }
        }
    }
}
