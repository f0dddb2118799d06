// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Where requests come from. Each request that {@link Gateway#accept} took gets exactly one of these
 * calls.
 */
public interface ResponseHandler {
    /**
     * All of the result in the engine side's form, text unless the front asked for work; after
     * {@link #begun} its end.
     */
    void served(long tag, RequestResult result);

    /**
     * The result begins and goes on as the client takes it; its end is told by one of the other
     * calls.
     */
    default void streamBegan(long tag, ResultStreamHandle stream) {
        throw new IllegalStateException("this front takes whole results only");
    }

    /** A final word on the request itself in the engine side's form, for fronts that know it. */
    default void concluded(long tag, FinalStatus status) {
        failed(tag, FailureReason.ENGINE);
    }

    /** Turned away; trying again is harmless, best after this time. */
    void rejected(long tag, long retryAfterMs);

    /** Failed, with nothing promised about its effect. */
    void failed(long tag, FailureReason why);

    /**
     * Whether the client has cancelled this request or gone, also by what it sent that was not
     * handled yet. Asked right before something goes to an engine, maybe while this front hands a
     * request over; it calls nothing back.
     */
    default boolean isClientGone(long tag) {
        return false;
    }

    // What its wire tells of who sent a request that is not over, where anybody asks; null where it
    // has no such word.
    default String login(long tag) {
        return null;
    }

    default String catalog(long tag) {
        return null;
    }

    default InetSocketAddress localAddress(long tag) {
        return null;
    }

    default InetAddress clientAddress(long tag) {
        return null;
    }
}
