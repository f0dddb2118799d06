// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.EnumMap;
import java.util.Map;

/**
 * What has become of requests and attempts since the process began. The one place where it is
 * counted; one thread.
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

    /** The number of requests of the class that ended so. */
    public long requestsEnded(RequestOutcome outcome, int queryClass) {
        return endedRequests.get(outcome)[queryClass];
    }

    /** The number of attempts whose last byte has been written to an engine. */
    public long attemptsWritten() {
        return attemptsWritten;
    }
}
