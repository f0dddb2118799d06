// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Knows how many processes are this one gateway for now, and which of them this one is. */
final class GatewayProcesses {
    private int count = 1;
    private int index;

    void update(int newCount, int newIndex) {
        count = newCount;
        index = newIndex;
    }

    /** Returns the number of processes that share what the gateway is allowed; at least one. */
    int count() {
        return count;
    }

    /** Returns the number of this process among them, from 0. */
    int index() {
        return index;
    }
}
