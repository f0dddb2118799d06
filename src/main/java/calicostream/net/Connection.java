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
public final class Connection implements Loop.Ready {
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

    private final Loop loop;
    private final SocketChannel channel;
    private final Handler handler;
    private final Ring in;
    private final Ring out;
    private SelectionKey key;
    private boolean connecting, closed, paused, flushing, urgent;
    private boolean closeWhenFlushed, lingering, reset;
    private boolean ended, readAhead; // by the other side; bytes wait to be handled
    private long queued, written; // bytes since it was opened

    private Connection(
            Loop loop, SocketChannel channel, Handler handler, int boundIn, int boundOut) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
        in = new Ring(boundIn, loop.held());
        out = new Ring(boundOut, loop.held());
    }

    /** Takes over an accepted channel. */
    public static Connection accepted(
            Loop loop, SocketChannel channel, Handler handler, int boundIn, int boundOut)
            throws IOException {
        Connection c = new Connection(loop, channel, handler, boundIn, boundOut);
        c.key = loop.register(channel, SelectionKey.OP_READ, c);
        return c;
    }

    /** The same, served before all that is not urgent. */
    public static Connection urgent(
            Loop loop, SocketChannel channel, Handler handler, int boundIn, int boundOut)
            throws IOException {
        Connection c = accepted(loop, channel, handler, boundIn, boundOut);
        c.urgent = true;
        return c;
    }

    /**
     * Starts to connect; a failure, also one at once, is told as {@link Handler#closed}, never from
     * in here.
     */
    public static Connection to(
            Loop loop, InetSocketAddress address, Handler handler, int boundIn, int boundOut)
            throws IOException {
        Connection c = new Connection(loop, SocketChannel.open(), handler, boundIn, boundOut);
        c.connecting = true;
        try {
            c.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            c.channel.configureBlocking(false);
            c.channel.connect(address);
            c.key = loop.register(c.channel, SelectionKey.OP_CONNECT, c);
        } catch (IOException e) {
            loop.soon(c::close);
        }
        return c;
    }

    /** The same, served before all that is not urgent. */
    public static Connection urgentTo(
            Loop loop, InetSocketAddress address, Handler handler, int boundIn, int boundOut)
            throws IOException {
        Connection c = to(loop, address, handler, boundIn, boundOut);
        c.urgent = true;
        return c;
    }

    public Ring in() {
        return in;
    }

    /** Bytes queued since it was opened, and those of them that the socket has taken. */
    public long queued() {
        return queued;
    }

    public long written() {
        return written;
    }

    /** Bytes queued that the socket has not taken. */
    public int unsent() {
        return out.size();
    }

    /** Who is at the other end; null once it is closed. */
    public InetSocketAddress remote() {
        try {
            return (InetSocketAddress) channel.getRemoteAddress();
        } catch (IOException closed) {
            return null;
        }
    }

    /** The address of this end; null once it is closed. */
    public InetSocketAddress local() {
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
        queued += bytes.length;
        if (!connecting
                && !flushing) { // One write for all that is queued in this turn of the loop.
            flushing = true;
            loop.soon(this::flush);
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
    public void again() {
        loop.nextTurn(() -> handle(in.size() > 0));
    }

    /** Back-pressure: stops or resumes reading. */
    public void pause(boolean on) {
        if (paused != on && (on || !closeWhenFlushed)) {
            paused = on;
            interest();
            if (!on) {
                loop.soon(() -> handle(in.size() > 0));
            }
        }
    }

    /**
     * Sends what is queued, then closes; takes no more input. What still comes is read and dropped
     * for a while: closing on unread bytes would reset the connection, and the last answer with it.
     */
    public void finish() {
        if (connecting) {
            close();
        } else if (!closeWhenFlushed && !closed) {
            closeWhenFlushed = true;
            pause(true);
            awaitFlushed(written);
            loop.soon(this::flush);
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
                            if (!lingering && written > writtenBefore) {
                                awaitFlushed(written);
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
    public boolean hasEnded() {
        if (closed || ended || connecting || lingering) {
            return closed || ended;
        }
        try {
            for (int count = 1; count > 0 && in.room() > 0; ) {
                count = in.fill(channel, loop.through());
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
            loop.nextTurn(
                    () -> {
                        readAhead = false;
                        if (ended) { // What it asked for last is of no use to anybody.
                            close();
                        } else {
                            handle(in.size() > 0);
                        }
                    });
        }
    }

    /** Takes what has come and was not read yet; whether there was nothing. */
    public boolean isQuiet() {
        if (closed || connecting || paused) {
            return false;
        }
        try {
            int count = in.fill(channel, loop.through());
            handle(count > 0);
            if (count < 0) {
                close();
            }
            return count == 0 && in.size() == 0 && !closed;
        } catch (IOException e) {
            close();
            return false;
        }
    }

    /** Whether it has ended, or only waits for the other side to see its end. */
    public boolean isFinishing() {
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
        in.skip(in.size());
        out.skip(out.size());
        handler.closed(this);
    }

    @Override
    public void ready() {
        try {
            if (connecting) {
                connect();
                return;
            }
            if (key.isWritable()) {
                flush();
            }
            if (!closed && key.isReadable()) {
                if (lingering) {
                    if (channel.read(loop.through().clear()) < 0) {
                        close();
                    }
                    return;
                }
                int count = in.fill(channel, loop.through());
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
        return urgent;
    }

    @Override
    public void moved(SelectionKey to) {
        key = to;
    }

    private void connect() throws IOException {
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
    public void broken() {
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
            int count = out.drain(channel, loop.through());
            written += count;
            if (count > 0) {
                handler.drained(this);
            }
            if (out.size() == 0 && closeWhenFlushed && !lingering && !closed) {
                lingering = true;
                in.skip(in.size());
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
                    (paused && !lingering || in.room() == 0 ? 0 : SelectionKey.OP_READ)
                            | (out.size() > 0 ? SelectionKey.OP_WRITE : 0);
            if (key.interestOps() != wanted) {
                key.interestOps(wanted);
            }
        }
    }
}
