// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Tracks the current and average number of queries and threads that this gateway runs on engines.
 */
final class OwnLoad {
    private double threads;
    private int queries;
    private double averageThreads;
    private double averageQueries;

    void attemptStarted(QueryState query) {
        threads += query.queryClass().threads();
        queries++;
    }

    void attemptEnded(QueryState query) {
        threads -= query.queryClass().threads();
        queries--;
    }

    /** Moves the averages towards the current values by the given part of the difference. */
    void updateAverages(double weight) {
        averageThreads += (threads - averageThreads) * weight;
        averageQueries += (queries - averageQueries) * weight;
    }

    double threads() {
        return threads;
    }

    double averageThreads() {
        return averageThreads;
    }

    double averageThreadsPerQuery() {
        return Math.max(1, averageThreads / Math.max(1e-9, averageQueries));
    }
}
