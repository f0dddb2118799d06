// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counters of ended requests and written attempts since the process started; nothing else counts
 * them. Not thread-safe.
 */
public final class RequestMetrics {
    /** For each outcome, the number of requests by the index of their query class. */
    private final Map<RequestOutcome, long[]> endedRequests = new EnumMap<>(RequestOutcome.class);

    private long attemptsWritten;

    RequestMetrics(int queryClasses) {
        for (RequestOutcome outcome : RequestOutcome.values()) {
            endedRequests.put(outcome, new long[queryClasses]);
        }
    }

    void recordRequestEnd(int queryClass, RequestOutcome outcome) {
        endedRequests.get(outcome)[queryClass]++;
    }

    void recordAttemptWritten() {
        attemptsWritten++;
    }

    /** Returns the number of requests of the query class that ended with this outcome. */
    public long requestsEnded(RequestOutcome outcome, int queryClass) {
        return endedRequests.get(outcome)[queryClass];
    }

    /** Returns the number of attempts whose last byte was written to an engine. */
    public long attemptsWritten() {
        return attemptsWritten;
    }
}
