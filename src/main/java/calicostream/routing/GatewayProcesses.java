// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Holds how many processes currently form this gateway, and the index of this process among them.
 */
final class GatewayProcesses {
    private int count = 1;
    private int index;

    void update(int newCount, int newIndex) {
        count = newCount;
        index = newIndex;
    }

    /** Returns the number of processes that share the limits of this gateway; at least one. */
    int count() {
        return count;
    }

    /** Returns the index of this process among them, from 0. */
    int index() {
        return index;
    }
}
