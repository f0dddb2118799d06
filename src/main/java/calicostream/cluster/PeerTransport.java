// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * Carries frames between members, best effort: a frame may be lost, come late, twice or after a
 * later one, but never changed. {@code send} never blocks and never throws for a peer's fault;
 * {@link Receiver} is called on the thread that owns the receiver's state. Frames are at most
 * {@link #MAX_FRAME} bytes.
 */
public interface PeerTransport {
    /**
     * Entries of one append and chunks of a snapshot are bounded so that their frames stay far
     * below this.
     */
    int MAX_FRAME_BYTES = 8 << 20;

    /** Gets what the others sent to this member. */
    interface Receiver {
        void onFrame(int from, byte[] frame);
    }

    void send(int member, byte[] frame);
}
