// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.routing.AttemptOutcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The load probes on one connection, by their tags. */
final class PendingProbes {
    private final Map<String, RespLoadProbe> probes = new HashMap<>();

    /** Adds a probe and drops those that timed out. */
    void add(RespLoadProbe probe) {
        probes.values().removeIf(RespLoadProbe::hasEnded);
        probes.put(probe.tag(), probe);
    }

    /** Removes the probe of this tag; null where there is none. */
    RespLoadProbe take(String tag) {
        return probes.remove(tag);
    }

    Set<String> tags() {
        return probes.keySet();
    }

    void endAll(AttemptOutcome outcome) {
        List.copyOf(probes.values()).forEach(probe -> probe.end(outcome, null));
    }
}
