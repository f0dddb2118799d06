// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.core.Watcher.Ending;

/**
 * What became of requests and attempts from the start of the process on. The one place where it is
 * counted.
 */
public final class Figures {
    private final long[][] ends = new long[Ending.values().length][];
    private long tries;

    Figures(int classes) {
        for (int i = 0; i < ends.length; i++) {
            ends[i] = new long[classes];
        }
    }

    void ended(int queryClass, Ending how) {
        ends[how.ordinal()][queryClass]++;
    }

    void tried() {
        tries++;
    }

    /** Requests of the class that ended so. */
    public long ended(Ending how, int queryClass) {
        return ends[how.ordinal()][queryClass];
    }

    /** Attempts whose last byte has been written to an engine. */
    public long tries() {
        return tries;
    }
}
