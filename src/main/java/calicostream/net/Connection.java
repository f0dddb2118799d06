// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** One TCP connection with a bounded ring a direction; its handler is told what happens on it. */
public final class Connection implements SelectorLoop.ChannelHandler {
    private static final long LINGER =
            1_000_000; // us for the other side to read on, or to close once it has all

    /**
     * What a connection's owner is told. {@link #closed} comes once, also after {@link
     * Connection#close}.
     */
    public interface Handler {
        default void connected(Connection connection) {}

        /** New bytes are in the ring; take what is whole. */
        void received(Connection connection);

        /** Bytes went out, so the ring out has room again. */
        default void drained(Connection connection) {}

        void closed(Connection connection);
    }

    private final SelectorLoop loop;
    private final SocketChannel channel;
    private final Handler handler;
    private final RingBuffer input;
    private final RingBuffer out;
    private SelectionKey key;
    private boolean connecting, closed, paused, flushing, ofAcceptedUrgent;
    private boolean closeWhenFlushed, lingering, reset;
    private boolean ended, readAhead; // by the other side; bytes wait to be handled
    private long queuedBytes, writtenBytes; // bytes since it was opened

    private Connection(
            SelectorLoop loop, SocketChannel channel, Handler handler, int boundIn, int boundOut) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
        input = new RingBuffer(boundIn, loop.bufferMemory());
        out = new RingBuffer(boundOut, loop.bufferMemory());
    }

    /** Takes over an accepted channel. */
    public static Connection ofAccepted(
            SelectorLoop loop, SocketChannel channel, Handler handler, int boundIn, int boundOut)
            throws IOException {
        Connection c = new Connection(loop, channel, handler, boundIn, boundOut);
        c.key = loop.register(channel, SelectionKey.OP_READ, c);
        return c;
    }

    /** The same, served before all that is not urgent. */
    public static Connection ofAcceptedUrgent(
            SelectorLoop loop, SocketChannel channel, Handler handler, int boundIn, int boundOut)
            throws IOException {
        Connection c = ofAccepted(loop, channel, handler, boundIn, boundOut);
        c.ofAcceptedUrgent = true;
        return c;
    }

    /**
     * Starts to connect; a failure, also one at once, is told as {@link Handler#closed}, never from
     * in here.
     */
    public static Connection connect(
            SelectorLoop loop,
            InetSocketAddress address,
            Handler handler,
            int boundIn,
            int boundOut)
            throws IOException {
        Connection c = new Connection(loop, SocketChannel.open(), handler, boundIn, boundOut);
        c.connecting = true;
        try {
            c.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            c.channel.configureBlocking(false);
            c.channel.connect(address);
            c.key = loop.register(c.channel, SelectionKey.OP_CONNECT, c);
        } catch (IOException e) {
            loop.runBeforeSelect(c::close);
        }
        return c;
    }

    /** The same, served before all that is not urgent. */
    public static Connection connectUrgent(
            SelectorLoop loop,
            InetSocketAddress address,
            Handler handler,
            int boundIn,
            int boundOut)
            throws IOException {
        Connection c = connect(loop, address, handler, boundIn, boundOut);
        c.ofAcceptedUrgent = true;
        return c;
    }

    public RingBuffer input() {
        return input;
    }

    /** Bytes queued since it was opened, and those of them that the socket has taken. */
    public long queuedBytes() {
        return queuedBytes;
    }

    public long writtenBytes() {
        return writtenBytes;
    }

    /** Bytes queued that the socket has not taken. */
    public int unsentBytes() {
        return out.size();
    }

    /** Who is at the other end; null once it is closed. */
    public InetSocketAddress remoteAddress() {
        try {
            return (InetSocketAddress) channel.getRemoteAddress();
        } catch (IOException closed) {
            return null;
        }
    }

    /** The address of this end; null once it is closed. */
    public InetSocketAddress localAddress() {
        try {
            return (InetSocketAddress) channel.getLocalAddress();
        } catch (IOException closed) {
            return null;
        }
    }

    public boolean isConnected() {
        return !connecting && !closed;
    }

    public boolean isClosed() {
        return closed;
    }

    /** Queues bytes; false, and nothing is queued, where the ring has no room. */
    public boolean write(byte[] bytes) {
        if (closed || !out.put(bytes)) {
            return false;
        }
        queuedBytes += bytes.length;
        if (!connecting
                && !flushing) { // One write for all that is queued in this turn of the loop.
            flushing = true;
            loop.runBeforeSelect(this::flush);
        }
        return true;
    }

    /**
     * Writes what is queued now, as something else that goes out in this turn must come after it.
     */
    public void flushNow() {
        if (!connecting) {
            flush();
        }
    }

    /** Goes on with what is in the ring once every other channel has had its turn. */
    public void processNextIteration() {
        loop.runNextIteration(() -> handle(input.size() > 0));
    }

    /** Back-pressure: stops or resumes reading. */
    public void setReadPaused(boolean on) {
        if (paused != on && (on || !closeWhenFlushed)) {
            paused = on;
            interest();
            if (!on) {
                loop.runBeforeSelect(() -> handle(input.size() > 0));
            }
        }
    }

    /**
     * Sends what is queued, then closes; takes no more input. What still comes is read and dropped
     * for a while: closing on unread bytes would reset the connection, and the last answer with it.
     */
    public void closeGracefully() {
        if (connecting) {
            close();
        } else if (!closeWhenFlushed && !closed) {
            closeWhenFlushed = true;
            setReadPaused(true);
            awaitFlushed(writtenBytes);
            loop.runBeforeSelect(this::flush);
        }
    }

    /**
     * Who reads slowly has all of it in the end; who has read nothing for a while is not waited
     * for.
     */
    private void awaitFlushed(long writtenBefore) {
        loop.deadlines()
                .add(
                        loop.clock().now() + LINGER,
                        (now, ref) -> {
                            if (!lingering && writtenBytes > writtenBefore) {
                                awaitFlushed(writtenBytes);
                            } else if (!lingering) {
                                close();
                            }
                        },
                        0);
    }

    /**
     * Whether the other side has ended it, as far as its bytes have come: these are read now, also
     * where reading is paused, and handled in the loop's next turn. Safe to call while this
     * connection's bytes are being handled.
     */
    public boolean hasPeerClosed() {
        if (closed || ended || connecting || lingering) {
            return closed || ended;
        }
        try {
            for (int count = 1; count > 0 && input.remainingCapacity() > 0; ) {
                count = input.readFrom(channel, loop.transferBuffer());
                ended = count < 0;
                readAhead(count != 0);
            }
        } catch (IOException e) {
            ended = true;
            readAhead(true);
        }
        return ended;
    }

    /** The selector won't tell of bytes that have been read. */
    private void readAhead(boolean any) {
        if (any && !readAhead) {
            readAhead = true;
            loop.runNextIteration(
                    () -> {
                        readAhead = false;
                        if (ended) { // What it asked for last is of no use to anybody.
                            close();
                        } else {
                            handle(input.size() > 0);
                        }
                    });
        }
    }

    /** Takes what has come and was not read yet; whether there was nothing. */
    public boolean readAndCheckIdle() {
        if (closed || connecting || paused) {
            return false;
        }
        try {
            int count = input.readFrom(channel, loop.transferBuffer());
            handle(count > 0);
            if (count < 0) {
                close();
            }
            return count == 0 && input.size() == 0 && !closed;
        } catch (IOException e) {
            close();
            return false;
        }
    }

    /** Whether it has ended, or only waits for the other side to see its end. */
    public boolean isClosing() {
        return closeWhenFlushed || closed || ended;
    }

    /** Whether the other side, which was there, ended it before it had come up. */
    public boolean wasReset() {
        return reset;
    }

    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        try {
            channel.close();
        } catch (IOException e) {
            // The descriptor is gone either way.
        }
        input.skip(input.size());
        out.skip(out.size());
        handler.closed(this);
    }

    @Override
    public void onReady() {
        try {
            if (connecting) {
                finishConnect();
                return;
            }
            if (key.isWritable()) {
                flush();
            }
            if (!closed && key.isReadable()) {
                if (lingering) {
                    if (channel.read(loop.transferBuffer().clear()) < 0) {
                        close();
                    }
                    return;
                }
                int count = input.readFrom(channel, loop.transferBuffer());
                handle(count > 0);
                if (count < 0) {
                    close();
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    @Override
    public boolean isUrgent() {
        return ofAcceptedUrgent;
    }

    @Override
    public void onKeyReplaced(SelectionKey to) {
        key = to;
    }

    private void finishConnect() throws IOException {
        try {
            if (channel.finishConnect()) {
                connecting = false;
                interest();
                handler.connected(this);
            }
        } catch (ConnectException e) { // Refused: nobody is there.
            close();
        } catch (SocketException e) {
            reset = true;
            close();
        }
    }

    @Override
    public void onFailure() {
        close();
    }

    private void handle(boolean any) {
        if (any && !closed && !paused) {
            handler.received(this);
            interest();
        }
    }

    private void flush() {
        flushing = false;
        if (closed) {
            return;
        }
        try {
            int count = out.writeTo(channel, loop.transferBuffer());
            writtenBytes += count;
            if (count > 0) {
                handler.drained(this);
            }
            if (out.size() == 0 && closeWhenFlushed && !lingering && !closed) {
                lingering = true;
                input.skip(input.size());
                channel.shutdownOutput();
                loop.deadlines().add(loop.clock().now() + LINGER, (now, ref) -> close(), 0);
            }
            interest();
        } catch (IOException e) {
            close();
        }
    }

    private void interest() {
        if (!closed && !connecting && key != null && key.isValid()) {
            int wanted =
                    (paused && !lingering || input.remainingCapacity() == 0
                                    ? 0
                                    : SelectionKey.OP_READ)
                            | (out.size() > 0 ? SelectionKey.OP_WRITE : 0);
            if (key.interestOps() != wanted) {
                key.interestOps(wanted);
            }
        }
    }
}
