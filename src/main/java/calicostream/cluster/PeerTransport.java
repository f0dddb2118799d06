// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * Best-effort transport of frames between members. A frame may be lost, delayed, duplicated or
 * reordered, but is never corrupted. Implementations neither block nor throw for a peer's fault.
 */
public interface PeerTransport {
    /**
     * The largest frame. Entries of one append and chunks of a snapshot are bounded so that their
     * frames stay far below this.
     */
    int MAX_FRAME_BYTES = 8 << 20;

    /** Receives the frames that others sent to this member. */
    interface Receiver {
        /**
         * Handles a frame; called on the thread that owns the receiver's state.
         *
         * @param from number of the sending member
         * @param frame owned by the receiver
         */
        void onFrame(int from, byte[] frame);
    }

    /**
     * Sends a frame if that is possible without blocking, else drops it.
     *
     * @param member number of the receiving member
     * @param frame at most {@link #MAX_FRAME_BYTES}; not changed by the caller afterwards
     */
    void send(int member, byte[] frame);
}
