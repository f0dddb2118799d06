// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * Decides which process of this front end runs the requests of an ordered key while two processes
 * serve side by side. Not thread-safe; no call blocks.
 */
public interface KeyOwnership {
    /** The ownership of a single process, which owns every key. */
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
     * Tries to acquire a key, and returns whether a further request of it may run here now. If not,
     * another process owns the key or began to wait for it earlier, and the caller must try again
     * soon. Waiting processes acquire the key in the order in which they first tried.
     */
    boolean tryAcquire(long key);

    /** Releases a key when no request of it runs here and its quiet period has ended. */
    void release(long key);

    /**
     * Returns the number of other live processes of this front end. The keys of a process that ends
     * are released immediately.
     */
    int otherProcesses();
}
