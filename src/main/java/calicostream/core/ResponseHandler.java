// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The protocol server that a request came from. For each accepted request, exactly one of {@link
 * #served}, {@link #answeredWithStatus}, {@link #rejected} and {@link #failed} is called, unless
 * the request is abandoned. All calls are made by the gateway's thread.
 */
public interface ResponseHandler {
    /**
     * Answers the request with its result, or ends its result stream.
     *
     * @param result the complete result as the engine client produced it; null after {@link
     *     #streamBegan}, when the stream is complete
     */
    void served(long tag, RequestResult result);

    /**
     * Starts a result stream, which continues at the pace of the client; {@link #served} or {@link
     * #failed} ends it.
     */
    default void streamBegan(long tag, ResultStreamHandle stream) {
        throw new IllegalStateException("this protocol server does not support result streams");
    }

    /** Answers the request with a final status; fails it if the protocol has no such status. */
    default void answeredWithStatus(long tag, FinalStatus status) {
        failed(tag, FailureReason.ENGINE);
    }

    /** Rejects the request; the client may safely send it again, preferably after this time. */
    void rejected(long tag, long retryAfterMs);

    /** Fails the request, which may or may not have taken effect. */
    void failed(long tag, FailureReason reason);

    /**
     * Returns whether the client has cancelled this request or disconnected, including a
     * cancellation that was received but not yet handled. Called immediately before an attempt is
     * sent, possibly while the request is being accepted; must not call the gateway.
     */
    default boolean isClientGone(long tag) {
        return false;
    }

    /** Returns the login of an open request, or null if the protocol has none. */
    default String login(long tag) {
        return null;
    }

    /** Returns the catalog of an open request, or null if the protocol has none. */
    default String catalog(long tag) {
        return null;
    }

    /** Returns the local address that the client of an open request connected to, or null. */
    default InetSocketAddress localAddress(long tag) {
        return null;
    }

    /** Returns the address of the client of an open request, or null if unknown. */
    default InetAddress clientAddress(long tag) {
        return null;
    }
}
