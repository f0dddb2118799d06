// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The protocol server that a request came from. Each request that {@link Gateway#accept} took gets
 * exactly one of {@link #served}, {@link #concluded}, {@link #rejected} and {@link #failed}, unless
 * it is abandoned. The gateway's thread makes all calls.
 */
public interface ResponseHandler {
    /**
     * The request is served.
     *
     * @param result the complete result in the engine client's form; null after {@link
     *     #streamBegan}, where it means that the stream is complete
     */
    void served(long tag, RequestResult result);

    /** The result begins, and goes on as the client takes it; another call marks its end. */
    default void streamBegan(long tag, ResultStreamHandle stream) {
        throw new IllegalStateException("this protocol server takes complete results only");
    }

    /** The request is answered by a final status, for protocol servers that know its form. */
    default void concluded(long tag, FinalStatus status) {
        failed(tag, FailureReason.ENGINE);
    }

    /** The request is rejected; the client may safely send it again, best after this time. */
    void rejected(long tag, long retryAfterMs);

    /** The request failed, with nothing promised about its effect. */
    void failed(long tag, FailureReason reason);

    /**
     * Whether the client has cancelled this request or disconnected, also where that has arrived
     * but was not handled yet. Asked right before an attempt goes to an engine, maybe while the
     * request is being accepted; must not call the gateway.
     */
    default boolean isClientGone(long tag) {
        return false;
    }

    /** The login that an open request was sent under, or null where the protocol has none. */
    default String login(long tag) {
        return null;
    }

    /** The catalog that an open request is for, or null where the protocol has none. */
    default String catalog(long tag) {
        return null;
    }

    /** Our address that the client of an open request connected to, or null if unknown. */
    default InetSocketAddress localAddress(long tag) {
        return null;
    }

    /** The address of the client of an open request, or null if unknown. */
    default InetAddress clientAddress(long tag) {
        return null;
    }
}
