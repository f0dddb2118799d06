// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.Timekeeper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's count of what has run out. Pure, one thread, its own monotonic time alone. A grant or renewal counts from when this
 * leader first saw it in its own copy, which is after its holder asked; what was there when its era began counts from then, as the
 * former leader may have granted it a moment before. Both spans are the whole time to live and the bound on drift beyond it.
 */
public class LeaderWatch implements Timekeeper {
    /** A grant as renewed so many times, first seen then. */
    record Seen(long token, long renewals, long since) { }

    private final LeaseMachine machine;
    private final Drift drift;
    private final Map<String, Seen> seen;

    public LeaderWatch(LeaseMachine machine) {
        this(machine, Drift.BOUND, Map.of());
    }

    LeaderWatch(LeaseMachine machine, Drift drift, Map<String, Seen> seen) {
        this.machine = machine;
        this.drift = drift;
        this.seen = new HashMap<>(seen);
    }

    /** A copy of what it knows, for the proofs. */
    Map<String, Seen> seen() {
        return Map.copyOf(seen);
    }

    @Override
    public void eraBegan(long era, long nowNanos) {
        seen.clear();
        for (LeaseMachine.View each : machine.held()) {
            seen.put(each.name(), new Seen(each.token(), each.renewals(), inherited(nowNanos, each.ttl())));
        }
    }

    /** From when a grant of a former leader counts. */
    long inherited(long nowNanos, long ttl) {
        return nowNanos;
    }

    @Override
    public List<byte[]> due(long nowNanos) {
        Map<String, Seen> before = new HashMap<>(seen);
        seen.clear();
        List<byte[]> due = new ArrayList<>();
        for (LeaseMachine.View each : machine.held()) {
            Seen known = before.get(each.name());
            if (known == null || known.token != each.token() || known.renewals != each.renewals()) {
                known = new Seen(each.token(), each.renewals(), nowNanos);
            }
            seen.put(each.name(), known);
            if (nowNanos - known.since >= drift.beyond(each.ttl())) {
                due.add(new LeaseCommand.Expire(each.name(), each.token(), each.renewals()).encode());
            }
        }
        return due;
    }
}
