// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * Shares the ids of requests that must not run again among the processes of this front end, while
 * two of them serve side by side and for some time afterwards. Not thread-safe; no call blocks.
 */
public interface PeerRequestIds {
    /** The ids of a single process, which has no peers to share them with. */
    PeerRequestIds ALONE =
            new PeerRequestIds() {
                @Override
                public boolean tryOpen(String requestId) {
                    return true;
                }

                @Override
                public void close(String requestId) {}

                @Override
                public void addUnrepeatable(String requestId, long timeToLiveMicros) {}

                @Override
                public boolean isUnrepeatable(String requestId) {
                    return false;
                }
            };

    /**
     * Publishes that a request with this id is open here. Two processes that try at the same moment
     * may both be refused; they never both succeed.
     *
     * @return false if a request with this id is open in another process, or is unrepeatable
     */
    boolean tryOpen(String requestId);

    /** Withdraws an id that {@link #tryOpen} has published, once its request has ended. */
    void close(String requestId);

    /**
     * Publishes that a request with this id may have run, must not run again, and failed or was
     * left by its client.
     */
    void addUnrepeatable(String requestId, long timeToLiveMicros);

    /** Returns whether another process has published this id as unrepeatable. */
    boolean isUnrepeatable(String requestId);
}
