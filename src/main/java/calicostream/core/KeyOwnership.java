// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * Which process of this front end runs the requests of a key, where two serve side by side. One
 * thread calls it, and no call waits.
 */
public interface KeyOwnership {
    /** One process alone: every turn is its own. */
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
     * Whether a further request of the key may run here now. False: another process has the key, or
     * waits for it, and it is to be asked again soon; who asks first is next.
     */
    boolean tryAcquire(long key);

    /** Nothing of the key is left here, neither running nor resting. */
    void release(long key);

    /**
     * How many other processes of this front end live now. The keys of one that has ended are free
     * at once.
     */
    int otherProcesses();
}
