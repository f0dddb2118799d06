// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * Which process of this front end runs the requests of a key, where two serve side by side. One
 * thread calls it, and no call blocks.
 */
public interface KeyOwnership {
    /** One process alone owns every key. */
    KeyOwnership ALONE =
            new KeyOwnership() {
                @Override
                public boolean tryAcquire(long key) {
                    return true;
                }

                @Override
                public void release(long key) {}

                @Override
                public int otherProcesses() {
                    return 0;
                }
            };

    /**
     * Whether a further request of the key may run here now. If not, another process owns the key
     * or is ahead in waiting for it, and the caller tries again soon; the first to try is next.
     */
    boolean tryAcquire(long key);

    /** Releases a key: no request of it runs here, and its quiet period is over. */
    void release(long key);

    /**
     * The number of other processes of this front end that are alive. The keys of one that has
     * ended are free at once.
     */
    int otherProcesses();
}
