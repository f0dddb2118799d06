// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.routing.AttemptOutcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The load probes on one connection that have no response yet, by their tags. */
final class PendingProbes {
    private final Map<String, RespLoadProbe> probes = new HashMap<>();

    /** Adds a probe and removes those that have timed out. */
    void add(RespLoadProbe probe) {
        probes.values().removeIf(RespLoadProbe::hasEnded);
        probes.put(probe.tag(), probe);
    }

    /** Removes and returns the probe with this tag; null where there is none. */
    RespLoadProbe remove(String tag) {
        return probes.remove(tag);
    }

    Set<String> tags() {
        return probes.keySet();
    }

    void endAll(AttemptOutcome outcome) {
        List.copyOf(probes.values()).forEach(probe -> probe.end(outcome, null));
    }
}
