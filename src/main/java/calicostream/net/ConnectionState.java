// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

/** The states of a {@link Connection}. It only moves forward through them, and may skip some. */
enum ConnectionState {
    CONNECTING,
    OPEN,
    /** Closes once all queued bytes are written. */
    FLUSHING,
    /** All is written and the output shut down; input is discarded until the peer closes. */
    LINGERING,
    CLOSED;

    boolean isConnected() {
        return this != CONNECTING && this != CLOSED;
    }

    /** Whether this end has begun to close. */
    boolean isClosing() {
        return this == FLUSHING || this == LINGERING || this == CLOSED;
    }
}
