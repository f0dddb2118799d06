// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.ExpiryMonitor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's count of what has run out. Pure, one thread, its own monotonic time alone. A grant
 * or renewal counts from when this leader first saw it in its own copy, which is after its holder
 * asked; what was there when its era began counts from then, as the former leader may have granted
 * it a moment before. Both spans are the whole time to live and the bound on drift beyond it.
 *
 * <p>A clock that jumps ahead must end nothing early: between two looks no more counts than two of
 * their periods, and as much is waited beyond each span. A leader that was stopped thereby expires
 * late, never early.
 */
public class LeaseExpiryMonitor implements ExpiryMonitor {
    /** A grant as renewed so many times, first seen then. */
    record Seen(long token, long renewals, long since) {}

    private final LeaseMachine machine;
    private final ClockDriftBound drift;
    private final Map<String, Seen> seen;
    private final long longest; // that counts between two looks
    private boolean looked;
    private long lookedAt;

    /**
     * @param periodNanos at which {@link #due} is called when this process is not stopped
     */
    public LeaseExpiryMonitor(LeaseMachine machine, long periodNanos) {
        this(machine, ClockDriftBound.BOUND, Map.of(), periodNanos);
    }

    /**
     * @param periodNanos 0: it looks whenever it likes, and all that its clock says counts
     */
    LeaseExpiryMonitor(
            LeaseMachine machine, ClockDriftBound drift, Map<String, Seen> seen, long periodNanos) {
        this.machine = machine;
        this.drift = drift;
        this.seen = new HashMap<>(seen);
        longest = 2 * periodNanos;
    }

    /** A copy of what it knows, for the proofs. */
    Map<String, Seen> seen() {
        return Map.copyOf(seen);
    }

    @Override
    public void epochStarted(long era, long nowNanos) {
        seen.clear();
        looked = false;
        for (LeaseMachine.View each : machine.held()) {
            seen.put(
                    each.name(),
                    new Seen(each.token(), each.renewals(), inherited(nowNanos, each.ttl())));
        }
    }

    /** From when a grant of a former leader counts. */
    long inherited(long nowNanos, long ttl) {
        return nowNanos;
    }

    @Override
    public List<byte[]> expiredCommands(long nowNanos) {
        Map<String, Seen> before = new HashMap<>(seen);
        seen.clear();
        long jumped = looked && longest > 0 ? Math.max(0, nowNanos - lookedAt - longest) : 0;
        looked = true;
        lookedAt = nowNanos;
        List<byte[]> due = new ArrayList<>();
        for (LeaseMachine.View each : machine.held()) {
            Seen known = before.get(each.name());
            if (known == null || known.token != each.token() || known.renewals != each.renewals()) {
                known = new Seen(each.token(), each.renewals(), nowNanos);
            } else if (jumped > 0) {
                known = new Seen(known.token, known.renewals, known.since + jumped);
            }
            seen.put(each.name(), known);
            if (nowNanos - known.since >= drift.beyond(each.ttl()) + longest) {
                due.add(
                        new LeaseCommand.Expire(each.name(), each.token(), each.renewals())
                                .encode());
            }
        }
        return due;
    }
}
