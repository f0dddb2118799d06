// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * What became of requests and attempts from the start of the process on. The one place where it is
 * counted.
 */
public final class RequestMetrics {
    private final long[][] ends = new long[RequestOutcome.values().length][];
    private long attemptsWritten;

    RequestMetrics(int classes) {
        for (int i = 0; i < ends.length; i++) {
            ends[i] = new long[classes];
        }
    }

    void requestEnded(int queryClass, RequestOutcome how) {
        ends[how.ordinal()][queryClass]++;
    }

    void attemptWritten() {
        attemptsWritten++;
    }

    /** Requests of the class that ended so. */
    public long requestEnded(RequestOutcome how, int queryClass) {
        return ends[how.ordinal()][queryClass];
    }

    /** Attempts whose last byte has been written to an engine. */
    public long attemptsWritten() {
        return attemptsWritten;
    }
}
