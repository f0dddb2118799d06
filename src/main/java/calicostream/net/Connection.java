// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * One TCP connection with a bounded buffer for each direction. It belongs to one event loop, whose
 * thread makes all calls; its {@link Handler} is notified on that thread. The connection owns its
 * channel. An I/O failure closes it and is not thrown.
 */
public final class Connection implements SelectorLoop.ChannelHandler {
    /** Time for the peer to read on while bytes are unsent, or to close once it has them all. */
    private static final long LINGER_MICROS = 1_000_000;

    /** The events of a connection. */
    public interface Handler {
        /** An outgoing connection is established. */
        default void connected(Connection connection) {}

        /**
         * New bytes are in {@link Connection#input()}; the handler removes what is complete. Also
         * called with bytes that it has left there before.
         */
        void received(Connection connection);

        /** Queued bytes were written, so that there is capacity for more. */
        default void drained(Connection connection) {}

        /** The connection is closed; called once, also after {@link Connection#close}. */
        void closed(Connection connection);
    }

    private final SelectorLoop loop;
    private final SocketChannel channel;
    private final Handler handler;
    private final ConnectionInput input;
    private final ConnectionOutput output;
    private SelectionKey key;
    private ConnectionState state = ConnectionState.CONNECTING;
    private boolean urgent;
    private boolean flushScheduled;
    private boolean resetWhileConnecting;

    private Connection(
            SelectorLoop loop,
            SocketChannel channel,
            Handler handler,
            int maxInput,
            int maxOutput) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
        RingBuffer received = new RingBuffer(maxInput, loop.bufferMemory());
        input = new ConnectionInput(this, loop, channel, handler, received);
        output = new ConnectionOutput(new RingBuffer(maxOutput, loop.bufferMemory()));
    }

    /**
     * Creates the connection of an accepted channel, and owns the channel from then on.
     *
     * @param maxInput capacity of the buffer for received bytes, a power of two of at least 512
     * @param maxOutput capacity of the buffer for queued bytes, likewise
     * @throws IOException where the channel can't be registered; it stays the caller's
     */
    public static Connection ofAccepted(
            SelectorLoop loop, SocketChannel channel, Handler handler, int maxInput, int maxOutput)
            throws IOException {
        return new Connection(loop, channel, handler, maxInput, maxOutput).startReading(false);
    }

    /** As {@link #ofAccepted}, for a connection that is served before those that are not urgent. */
    public static Connection ofAcceptedUrgent(
            SelectorLoop loop, SocketChannel channel, Handler handler, int maxInput, int maxOutput)
            throws IOException {
        return new Connection(loop, channel, handler, maxInput, maxOutput).startReading(true);
    }

    private Connection startReading(boolean isUrgent) throws IOException {
        urgent = isUrgent;
        state = ConnectionState.OPEN;
        key = loop.register(channel, SelectionKey.OP_READ, this);
        return this;
    }

    /**
     * Starts to connect. A failure is notified by {@link Handler#closed}, never within this call.
     *
     * @throws IOException where no socket can be opened
     */
    public static Connection connect(
            SelectorLoop loop,
            InetSocketAddress address,
            Handler handler,
            int maxInput,
            int maxOutput)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        return new Connection(loop, channel, handler, maxInput, maxOutput)
                .startConnecting(address, false);
    }

    /** As {@link #connect}, for a connection that is served before those that are not urgent. */
    public static Connection connectUrgent(
            SelectorLoop loop,
            InetSocketAddress address,
            Handler handler,
            int maxInput,
            int maxOutput)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        return new Connection(loop, channel, handler, maxInput, maxOutput)
                .startConnecting(address, true);
    }

    private Connection startConnecting(InetSocketAddress address, boolean isUrgent) {
        urgent = isUrgent;
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            channel.connect(address);
            key = loop.register(channel, SelectionKey.OP_CONNECT, this);
        } catch (IOException e) {
            loop.runBeforeSelect(this::close);
        }
        return this;
    }

    /** The received bytes; the handler removes what it has processed. */
    public RingBuffer input() {
        return input.buffer();
    }

    /** Bytes queued since the connection was opened. */
    public long queuedBytes() {
        return output.queuedBytes();
    }

    /** Bytes that the socket has accepted since the connection was opened. */
    public long writtenBytes() {
        return output.writtenBytes();
    }

    /** Bytes that are queued and not written. */
    public int unsentBytes() {
        return output.unsentBytes();
    }

    /** The peer's address; null once the connection is closed. */
    public InetSocketAddress remoteAddress() {
        try {
            return (InetSocketAddress) channel.getRemoteAddress();
        } catch (IOException closed) {
            return null;
        }
    }

    /** The address of this end; null once the connection is closed. */
    public InetSocketAddress localAddress() {
        try {
            return (InetSocketAddress) channel.getLocalAddress();
        } catch (IOException closed) {
            return null;
        }
    }

    /** Whether the connection is established and not closed. */
    public boolean isConnected() {
        return state.isConnected();
    }

    /** Whether {@link Handler#closed} has been or is being called. */
    public boolean isClosed() {
        return state == ConnectionState.CLOSED;
    }

    /** Whether the connection is closed, or about to close from either side. */
    public boolean isClosing() {
        return state.isClosing() || input.isPeerClosed();
    }

    /** Whether a peer that was reachable reset the connection before it was established. */
    public boolean wasReset() {
        return resetWhileConnecting;
    }

    /**
     * Queues bytes to be written before the loop next waits.
     *
     * @return false, and nothing is queued, where the connection is closed or has no capacity
     */
    public boolean write(byte[] bytes) {
        if (isClosed() || !output.enqueue(bytes)) {
            return false;
        }
        // One write to the socket for all that is queued in this iteration of the loop.
        if (state != ConnectionState.CONNECTING && !flushScheduled) {
            flushScheduled = true;
            loop.runBeforeSelect(this::flush);
        }
        return true;
    }

    /** Writes what is queued now, ahead of other connections' output in this iteration. */
    public void flushNow() {
        if (state != ConnectionState.CONNECTING) {
            flush();
        }
    }

    private void flush() {
        flushScheduled = false;
        if (isClosed()) {
            return;
        }
        try {
            if (output.writeTo(channel, loop.transferBuffer()) > 0) {
                handler.drained(this);
            }
            if (state == ConnectionState.FLUSHING && output.unsentBytes() == 0) {
                linger();
            }
            updateInterest();
        } catch (IOException e) {
            close();
        }
    }

    /** Applies back-pressure: pauses or resumes reading from the socket. */
    public void setReadPaused(boolean paused) {
        if (paused || !state.isClosing()) {
            input.setPaused(paused);
        }
    }

    /** Passes buffered input to the handler again once every other channel was served. */
    public void processNextIteration() {
        input.processNextIteration();
    }

    /**
     * Whether the peer has closed the connection, as far as bytes have arrived. They are read now,
     * even where reading is paused, and processed in the loop's next iteration, so that the handler
     * may call this while it processes input.
     */
    public boolean hasPeerClosed() {
        if (state == ConnectionState.OPEN || state == ConnectionState.FLUSHING) {
            input.readAhead();
        }
        return isClosed() || input.isPeerClosed();
    }

    /** Reads and processes what has arrived; returns whether the connection is open and idle. */
    public boolean readAndCheckIdle() {
        if (!isConnected() || input.isPaused()) {
            return false;
        }
        try {
            int count = input.readAndProcess();
            return count == 0 && input.buffer().size() == 0 && !isClosed();
        } catch (IOException e) {
            close();
            return false;
        }
    }

    /**
     * Closes the connection once all queued bytes are written; no more input is processed. Input is
     * still read and discarded for a while: closing a socket with unread input would reset the
     * connection, and the peer would lose the last bytes written.
     */
    public void closeGracefully() {
        if (state == ConnectionState.CONNECTING) {
            close();
        } else if (state == ConnectionState.OPEN) {
            state = ConnectionState.FLUSHING;
            input.setPaused(true);
            closeUnlessWritten(output.writtenBytes());
            loop.runBeforeSelect(this::flush);
        }
    }

    /** A peer that reads slowly receives everything; one that stopped reading is not awaited. */
    private void closeUnlessWritten(long writtenBefore) {
        loop.deadlines()
                .add(
                        loop.clock().now() + LINGER_MICROS,
                        (now, reference) -> checkFlushProgress(writtenBefore),
                        0);
    }

    private void checkFlushProgress(long writtenBefore) {
        if (state != ConnectionState.FLUSHING) {
            return;
        }
        if (output.writtenBytes() > writtenBefore) {
            closeUnlessWritten(output.writtenBytes());
        } else {
            close();
        }
    }

    private void linger() throws IOException {
        state = ConnectionState.LINGERING;
        input.discard();
        channel.shutdownOutput();
        loop.deadlines().add(loop.clock().now() + LINGER_MICROS, (now, reference) -> close(), 0);
    }

    /** Closes the connection at once and discards unsent bytes; later calls do nothing. */
    public void close() {
        if (isClosed()) {
            return;
        }
        state = ConnectionState.CLOSED;
        try {
            channel.close();
        } catch (IOException e) {
            // The file descriptor is released either way.
        }
        input.discard();
        output.discard();
        handler.closed(this);
    }

    @Override
    public void onReady() {
        try {
            if (state == ConnectionState.CONNECTING) {
                finishConnect();
                return;
            }
            if (key.isWritable()) {
                flush();
            }
            if (isClosed() || !key.isReadable()) {
                return;
            }
            if (state == ConnectionState.LINGERING) {
                input.readAndDiscard();
            } else {
                input.readAndProcess();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void finishConnect() throws IOException {
        try {
            if (channel.finishConnect()) {
                state = ConnectionState.OPEN;
                updateInterest();
                handler.connected(this);
            }
        } catch (ConnectException e) { // Rejected: no process listens there.
            close();
        } catch (SocketException e) {
            resetWhileConnecting = true;
            close();
        }
    }

    @Override
    public boolean isUrgent() {
        return urgent;
    }

    @Override
    public void onKeyReplaced(SelectionKey replacement) {
        key = replacement;
    }

    @Override
    public void onFailure() {
        close();
    }

    /** Updates the operations that the selector waits for. */
    void updateInterest() {
        if (!isConnected() || key == null || !key.isValid()) {
            return;
        }
        boolean discards = state == ConnectionState.LINGERING;
        boolean reads = (discards || !input.isPaused()) && input.buffer().remainingCapacity() > 0;
        boolean writes = output.unsentBytes() > 0;
        int interest = (reads ? SelectionKey.OP_READ : 0) | (writes ? SelectionKey.OP_WRITE : 0);
        if (key.interestOps() != interest) {
            key.interestOps(interest);
        }
    }
}
