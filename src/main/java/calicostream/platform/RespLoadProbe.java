// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Gateway;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;

/** One load probe of an engine, which reports its outcome to the gateway once. */
final class RespLoadProbe {
    private final Gateway gateway;
    private final long engine;
    private final String tag;
    private boolean ended;

    /**
     * @param tag identifies the probe on its connection
     */
    RespLoadProbe(Gateway gateway, long engine, String tag) {
        this.gateway = gateway;
        this.engine = engine;
        this.tag = tag;
    }

    String tag() {
        return tag;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Reports the outcome unless one was reported before; the load report may be null. */
    void end(AttemptOutcome outcome, LoadReport report) {
        if (!ended) {
            ended = true;
            gateway.probeCompleted(engine, outcome, report);
        }
    }
}
