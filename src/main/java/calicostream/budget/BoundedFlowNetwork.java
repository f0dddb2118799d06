// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * A flow network with integer capacities and lower bounds, in which the flow is augmented by single
 * units. Not thread-safe.
 *
 * <p>Each edge is two arcs side by side: the even one goes forward, the odd one is its reverse. An
 * edge is named by its forward arc.
 */
final class BoundedFlowNetwork {
    private static final int INITIAL_ARCS = 64;
    private static final int NO_ARC = -1;
    private static final int START = -2;

    /** By node: the first of its outgoing arcs. */
    private final int[] firstArc;

    /** By node, during a search: the arc by which it was reached. */
    private final int[] reachedBy;

    /** By arc: the next outgoing arc of the same node, and the node that it goes to. */
    private int[] nextArc = new int[INITIAL_ARCS];

    private int[] head = new int[INITIAL_ARCS];

    /** By edge, at the number of its forward arc. */
    private int[] capacity = new int[INITIAL_ARCS];

    private int[] lowerBound = new int[INITIAL_ARCS];
    private int[] flow = new int[INITIAL_ARCS];
    private int arcs;

    BoundedFlowNetwork(int nodes) {
        firstArc = new int[nodes];
        Arrays.fill(firstArc, NO_ARC);
        reachedBy = new int[nodes];
    }

    /**
     * Adds an edge without flow and with lower bound 0.
     *
     * @param edgeCapacity a negative one counts as 0
     * @return the edge's number
     */
    int addEdge(int from, int to, int edgeCapacity) {
        if (arcs == head.length) {
            grow();
        }
        int edge = arcs;
        capacity[edge] = Math.max(0, edgeCapacity);
        addArc(from, to);
        addArc(to, from);
        return edge;
    }

    private void grow() {
        nextArc = Arrays.copyOf(nextArc, arcs * 2);
        head = Arrays.copyOf(head, arcs * 2);
        capacity = Arrays.copyOf(capacity, arcs * 2);
        lowerBound = Arrays.copyOf(lowerBound, arcs * 2);
        flow = Arrays.copyOf(flow, arcs * 2);
    }

    private void addArc(int from, int to) {
        head[arcs] = to;
        nextArc[arcs] = firstArc[from];
        firstArc[from] = arcs;
        arcs++;
    }

    private static boolean isForward(int arc) {
        return (arc & 1) == 0;
    }

    private static int edgeOf(int arc) {
        return arc & ~1;
    }

    private static int reverse(int arc) {
        return arc ^ 1;
    }

    /**
     * What the arc can still take: forward up to the capacity, in reverse down to the lower bound.
     */
    int residual(int arc) {
        int edge = edgeOf(arc);
        return isForward(arc) ? capacity[edge] - flow[edge] : flow[edge] - lowerBound[edge];
    }

    int flow(int edge) {
        return flow[edge];
    }

    /** That much of the edge's flow, present or future, is not taken back. */
    void setLowerBound(int edge, int units) {
        lowerBound[edge] = units;
    }

    void push(int arc, int units) {
        flow[edgeOf(arc)] += isForward(arc) ? units : -units;
    }

    /**
     * Augments the flow by one unit along a shortest path of arcs that can take it.
     *
     * @return false if there is no such path; the flow is unchanged then
     */
    boolean augment(int from, int to) {
        Arrays.fill(reachedBy, NO_ARC);
        ArrayDeque<Integer> reached = new ArrayDeque<>();
        reached.add(from);
        reachedBy[from] = START;
        while (!reached.isEmpty()) {
            int node = reached.poll();
            for (int arc = firstArc[node]; arc != NO_ARC; arc = nextArc[arc]) {
                int next = head[arc];
                if (reachedBy[next] == NO_ARC && residual(arc) > 0) {
                    reachedBy[next] = arc;
                    if (next == to) {
                        pushBackTo(from, to);
                        return true;
                    }
                    reached.add(next);
                }
            }
        }
        return false;
    }

    /** Pushes one unit along the path by which the search reached {@code to}. */
    private void pushBackTo(int from, int to) {
        for (int node = to; node != from; node = head[reverse(reachedBy[node])]) {
            push(reachedBy[node], 1);
        }
    }
}
