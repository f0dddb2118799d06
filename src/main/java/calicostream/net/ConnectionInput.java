// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * The read side of a connection: reads from the socket into a bounded buffer, passes input to the
 * handler, applies back-pressure, and detects that the peer has closed.
 */
final class ConnectionInput {
    private final Connection connection;
    private final SelectorLoop loop;
    private final SocketChannel channel;
    private final Connection.Handler handler;
    private final RingBuffer buffer;
    private boolean paused;
    private boolean peerClosed;
    private boolean processingScheduled;

    ConnectionInput(
            Connection connection,
            SelectorLoop loop,
            SocketChannel channel,
            Connection.Handler handler,
            RingBuffer buffer) {
        this.connection = connection;
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
        this.buffer = buffer;
    }

    RingBuffer buffer() {
        return buffer;
    }

    boolean isPaused() {
        return paused;
    }

    /** Whether the peer has closed, as far as {@link #readAhead} has seen. */
    boolean isPeerClosed() {
        return peerClosed;
    }

    void setPaused(boolean isPaused) {
        if (paused == isPaused) {
            return;
        }
        paused = isPaused;
        connection.updateInterest();
        if (!isPaused) {
            loop.runBeforeSelect(this::processBuffered);
        }
    }

    /** Passes buffered input to the handler once every other channel was served. */
    void processNextIteration() {
        loop.runNextIteration(this::processBuffered);
    }

    /**
     * Reads once and passes new input to the handler; closes the connection at the end of input.
     *
     * @return the number of bytes read, or -1 at the end of input
     */
    int readAndProcess() throws IOException {
        int count = buffer.readFrom(channel, loop.transferBuffer());
        process(count > 0);
        if (count < 0) {
            connection.close();
        }
        return count;
    }

    private void processBuffered() {
        process(buffer.size() > 0);
    }

    private void process(boolean hasInput) {
        if (hasInput && !paused && !connection.isClosed()) {
            handler.received(connection);
            connection.updateInterest();
        }
    }

    /** Reads all that has arrived and fits, and processes it in the loop's next iteration. */
    void readAhead() {
        boolean more = !peerClosed;
        try {
            while (more && buffer.remainingCapacity() > 0) {
                int count = buffer.readFrom(channel, loop.transferBuffer());
                peerClosed = count < 0;
                if (count != 0) {
                    scheduleProcessing();
                }
                more = count > 0;
            }
        } catch (IOException e) {
            peerClosed = true;
            scheduleProcessing();
        }
    }

    /** The selector does not report bytes that have been read already. */
    private void scheduleProcessing() {
        if (!processingScheduled) {
            processingScheduled = true;
            loop.runNextIteration(this::processReadAhead);
        }
    }

    private void processReadAhead() {
        processingScheduled = false;
        if (peerClosed) { // Nobody is left who could use a response to the last input.
            connection.close();
        } else {
            processBuffered();
        }
    }

    /** Reads from the socket and drops what comes; closes the connection at the end of input. */
    void readAndDiscard() throws IOException {
        if (channel.read(loop.transferBuffer().clear()) < 0) {
            connection.close();
        }
    }

    void discard() {
        buffer.skip(buffer.size());
    }
}
