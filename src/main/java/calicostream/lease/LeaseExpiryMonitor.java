// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.ExpiryMonitor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds expired leases on the leader. Confined to one thread; uses the leader's monotonic time
 * alone. A grant or renewal is measured from when this leader first observed it in its own replica,
 * which is after its holder requested it. What was there when the leader's term began is measured
 * from then, as the former leader may have granted it a moment before. A lease expires after its
 * time to live plus the clock drift bound.
 *
 * <p>A clock that jumps ahead must not expire anything early: between two checks at most two check
 * periods count as elapsed, and two periods are added to each lease's span. A leader that was
 * paused therefore expires leases late, never early.
 */
public class LeaseExpiryMonitor implements ExpiryMonitor {
    /**
     * A grant as this leader first observed it.
     *
     * @param token the grant's token
     * @param renewals how often it was renewed
     * @param since when it was first observed, later by what the clock has jumped since
     */
    record ObservedGrant(long token, long renewals, long since) {
        boolean matches(LeaseStateMachine.HeldLease lease) {
            return token == lease.token() && renewals == lease.renewals();
        }

        ObservedGrant shifted(long nanos) {
            return new ObservedGrant(token, renewals, since + nanos);
        }
    }

    private static final int COUNTED_PERIODS = 2;
    private final LeaseStateMachine machine;
    private final ClockDriftBound drift;
    private final Map<String, ObservedGrant> observedGrants;
    private final long maxCountedNanos; // between two checks; 0: unlimited
    private boolean checked;
    private long lastCheckAt;

    /**
     * @param machine this replica's leases
     * @param periodNanos interval at which {@link #due} is called while this process is not paused
     */
    public LeaseExpiryMonitor(LeaseStateMachine machine, long periodNanos) {
        this(machine, ClockDriftBound.STANDARD, Map.of(), periodNanos);
    }

    /**
     * @param periodNanos 0: checks are not periodic, and all time that the clock shows counts
     */
    LeaseExpiryMonitor(
            LeaseStateMachine machine,
            ClockDriftBound drift,
            Map<String, ObservedGrant> observedGrants,
            long periodNanos) {
        this.machine = machine;
        this.drift = drift;
        this.observedGrants = new HashMap<>(observedGrants);
        maxCountedNanos = COUNTED_PERIODS * periodNanos;
    }

    /** A copy of what was observed, for model checks. */
    Map<String, ObservedGrant> observedGrants() {
        return Map.copyOf(observedGrants);
    }

    @Override
    public void epochStarted(long era, long nowNanos) {
        observedGrants.clear();
        checked = false;
        for (LeaseStateMachine.HeldLease lease : machine.heldLeases()) {
            long since = inheritedSince(nowNanos, lease.ttlNanos());
            observedGrants.put(
                    lease.name(), new ObservedGrant(lease.token(), lease.renewals(), since));
        }
    }

    /**
     * From when a grant of a former leader is measured. Overridden only to take this safeguard out.
     */
    long inheritedSince(long nowNanos, long ttlNanos) {
        return nowNanos;
    }

    @Override
    public List<byte[]> expiredCommands(long nowNanos) {
        Map<String, ObservedGrant> previous = new HashMap<>(observedGrants);
        observedGrants.clear();
        long jumpNanos = jumpSinceLastCheck(nowNanos);
        checked = true;
        lastCheckAt = nowNanos;
        List<byte[]> expirations = new ArrayList<>();
        for (LeaseStateMachine.HeldLease lease : machine.heldLeases()) {
            ObservedGrant grant = observe(lease, previous.get(lease.name()), nowNanos, jumpNanos);
            observedGrants.put(lease.name(), grant);
            long span = drift.longestSpan(lease.ttlNanos()) + maxCountedNanos;
            if (nowNanos - grant.since >= span) {
                expirations.add(
                        new LeaseCommand.Expire(lease.name(), lease.token(), lease.renewals())
                                .encode());
            }
        }
        return expirations;
    }

    private long jumpSinceLastCheck(long nowNanos) {
        if (!checked || maxCountedNanos <= 0) {
            return 0;
        }
        return Math.max(0, nowNanos - lastCheckAt - maxCountedNanos);
    }

    private static ObservedGrant observe(
            LeaseStateMachine.HeldLease lease,
            ObservedGrant previous,
            long nowNanos,
            long jumpNanos) {
        if (previous == null || !previous.matches(lease)) {
            return new ObservedGrant(lease.token(), lease.renewals(), nowNanos);
        }
        return jumpNanos > 0 ? previous.shifted(jumpNanos) : previous;
    }
}
