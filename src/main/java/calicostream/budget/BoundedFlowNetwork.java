// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * A flow network with integer capacities and lower bounds, whose flow is augmented one unit at a
 * time. Not thread-safe.
 *
 * <p>Each edge is a pair of consecutive arcs: the even one is the forward arc, the odd one its
 * reverse. An edge is identified by its forward arc.
 */
final class BoundedFlowNetwork {
    private static final int INITIAL_ARCS = 64;
    private static final int NO_ARC = -1;
    private static final int SOURCE_ENTRY = -2;

    /** By node: head of the linked list of its outgoing arcs. */
    private final int[] firstArc;

    /** By node, during a search: the arc on which the search entered the node. */
    private final int[] entryArc;

    /** By arc: the next outgoing arc of the same node. */
    private int[] nextArc = new int[INITIAL_ARCS];

    /** By arc: the node that it leads to. */
    private int[] head = new int[INITIAL_ARCS];

    /** By forward arc; the entries of reverse arcs are unused. */
    private int[] capacity = new int[INITIAL_ARCS];

    private int[] lowerBound = new int[INITIAL_ARCS];
    private int[] flow = new int[INITIAL_ARCS];
    private int arcCount;

    BoundedFlowNetwork(int nodes) {
        firstArc = new int[nodes];
        Arrays.fill(firstArc, NO_ARC);
        entryArc = new int[nodes];
    }

    /**
     * Adds an edge with flow 0 and lower bound 0.
     *
     * @param edgeCapacity treated as 0 if negative
     * @return the edge
     */
    int addEdge(int from, int to, int edgeCapacity) {
        if (arcCount == head.length) {
            grow();
        }
        int edge = arcCount;
        capacity[edge] = Math.max(0, edgeCapacity);
        addArc(from, to);
        addArc(to, from);
        return edge;
    }

    private void grow() {
        nextArc = Arrays.copyOf(nextArc, arcCount * 2);
        head = Arrays.copyOf(head, arcCount * 2);
        capacity = Arrays.copyOf(capacity, arcCount * 2);
        lowerBound = Arrays.copyOf(lowerBound, arcCount * 2);
        flow = Arrays.copyOf(flow, arcCount * 2);
    }

    private void addArc(int from, int to) {
        head[arcCount] = to;
        nextArc[arcCount] = firstArc[from];
        firstArc[from] = arcCount;
        arcCount++;
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
     * The residual capacity of the arc: a forward arc can gain flow up to the capacity, a reverse
     * arc can cancel flow down to the lower bound.
     */
    int residual(int arc) {
        int edge = edgeOf(arc);
        return isForward(arc) ? capacity[edge] - flow[edge] : flow[edge] - lowerBound[edge];
    }

    int flow(int edge) {
        return flow[edge];
    }

    /** Sets the flow of the edge that an augmentation must not cancel. */
    void setLowerBound(int edge, int units) {
        lowerBound[edge] = units;
    }

    void push(int arc, int units) {
        flow[edgeOf(arc)] += isForward(arc) ? units : -units;
    }

    /**
     * Augments the flow by one unit along a shortest path of arcs with residual capacity.
     *
     * @return false if there is no such path; the flow is unchanged then
     */
    boolean augment(int from, int to) {
        Arrays.fill(entryArc, NO_ARC);
        ArrayDeque<Integer> frontier = new ArrayDeque<>();
        frontier.add(from);
        entryArc[from] = SOURCE_ENTRY;
        while (!frontier.isEmpty()) {
            int node = frontier.poll();
            for (int arc = firstArc[node]; arc != NO_ARC; arc = nextArc[arc]) {
                int next = head[arc];
                if (entryArc[next] == NO_ARC && residual(arc) > 0) {
                    entryArc[next] = arc;
                    if (next == to) {
                        pushAlongPath(from, to);
                        return true;
                    }
                    frontier.add(next);
                }
            }
        }
        return false;
    }

    /** Pushes one unit along the path that the search found. */
    private void pushAlongPath(int from, int to) {
        for (int node = to; node != from; node = head[reverse(entryArc[node])]) {
            push(entryArc[node], 1);
        }
    }
}
