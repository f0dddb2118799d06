// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * A small network of whole numbers with bounds from both sides, into which single units are led;
 * not shared between threads.
 */
final class BoundedFlowNetwork {
    private final int[] first;
    private final int[] by;
    // by half edge: the even one goes forward, the odd one beside it back
    private int[] next = new int[64];
    private int[] to = new int[64];
    // by edge, at its even number
    private int[] most = new int[64];
    private int[] least = new int[64];
    private int[] flow = new int[64];
    private int edges;

    BoundedFlowNetwork(int nodes) {
        first = new int[nodes];
        Arrays.fill(first, -1);
        by = new int[nodes];
    }

    /**
     * @return the edge's number, always even
     */
    int addEdge(int from, int toNode, int capacity) {
        if (edges == to.length) {
            next = Arrays.copyOf(next, edges * 2);
            to = Arrays.copyOf(to, edges * 2);
            most = Arrays.copyOf(most, edges * 2);
            least = Arrays.copyOf(least, edges * 2);
            flow = Arrays.copyOf(flow, edges * 2);
        }
        int edge = edges;
        most[edge] = Math.max(0, capacity);
        half(from, toNode);
        half(toNode, from);
        return edge;
    }

    private void half(int from, int toNode) {
        to[edges] = toNode;
        next[edges] = first[from];
        first[from] = edges++;
    }

    /** What the half edge still takes: more of it forward, back what it carries above its least. */
    int residual(int half) {
        return (half & 1) == 0 ? most[half] - flow[half] : flow[half - 1] - least[half - 1];
    }

    int flow(int edge) {
        return flow[edge];
    }

    /** So much of what the edge carries, now or later, is not taken back. */
    void setLowerBound(int edge, int sessions) {
        least[edge] = sessions;
    }

    void push(int half, int amount) {
        flow[half & ~1] += (half & 1) == 0 ? amount : -amount;
    }

    /**
     * Leads one unit from one node to another, over any edges that take it, by taking back
     * elsewhere where needed; false if none does.
     */
    boolean augment(int from, int target) {
        Arrays.fill(by, -1);
        ArrayDeque<Integer> reached = new ArrayDeque<>();
        reached.add(from);
        by[from] = -2;
        while (!reached.isEmpty()) {
            int node = reached.poll();
            for (int half = first[node]; half >= 0; half = next[half]) {
                int end = to[half];
                if (by[end] == -1 && residual(half) > 0) {
                    by[end] = half;
                    if (end == target) {
                        for (int at = target; at != from; at = to[by[at] ^ 1]) {
                            push(by[at], 1);
                        }
                        return true;
                    }
                    reached.add(end);
                }
            }
        }
        return false;
    }
}
