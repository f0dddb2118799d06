// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** What is known of one client's connection; its own thread writes it, any thread reads it. */
final class ClientConnection {
    private final Channel channel;
    private final AtomicInteger openCalls = new AtomicInteger();
    private volatile long receivedAtNanos;
    private BooleanSupplier readCondition = () -> true;

    ClientConnection(Channel channel, long nowNanos) {
        this.channel = channel;
        receivedAtNanos = nowNanos;
    }

    void received(long nowNanos) {
        receivedAtNanos = nowNanos;
    }

    /** When bytes were last received, or the connection was accepted. */
    long receivedAtNanos() {
        return receivedAtNanos;
    }

    void callOpened() {
        openCalls.incrementAndGet();
    }

    void callEnded() {
        openCalls.decrementAndGet();
    }

    boolean hasOpenCalls() {
        return openCalls.get() > 0;
    }

    /** Sets what says whether more of its messages may be read; its own thread asks. */
    void setReadCondition(BooleanSupplier condition) {
        readCondition = condition;
    }

    boolean mayRead() {
        return readCondition.getAsBoolean();
    }

    /** Closes the connection, soon. */
    void close() {
        channel.close();
    }
}
