// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.ExpiryMonitor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds expired leases on the leader. Confined to one thread; uses only the leader's monotonic
 * clock. A grant or renewal is timed from the moment at which this leader first observed it in its
 * own replica, which is after the holder requested it. A grant that exists when the leader's term
 * begins is timed from the beginning of the term, as it may have been made or renewed just before
 * under the former leader. A lease expires after its time to live plus the clock drift bound.
 *
 * <p>A clock that jumps forward must not expire a lease early: at most two check periods are
 * counted as elapsed between two checks, and two check periods are added to the duration of each
 * lease. A leader that was paused therefore expires leases late, never early.
 */
public class LeaseExpiryMonitor implements ExpiryMonitor {
    /**
     * A grant as this leader first observed it.
     *
     * @param token the grant's token
     * @param renewals how often the grant was renewed
     * @param observedAt time of the first observation, moved forward by all clock jumps since then
     */
    record ObservedGrant(long token, long renewals, long observedAt) {
        boolean matches(LeaseStateMachine.HeldLease lease) {
            return token == lease.token() && renewals == lease.renewals();
        }

        ObservedGrant shiftedBy(long nanos) {
            return new ObservedGrant(token, renewals, observedAt + nanos);
        }
    }

    private static final int MAX_COUNTED_PERIODS = 2;

    private final LeaseStateMachine machine;
    private final ClockDriftBound drift;
    private final Map<String, ObservedGrant> observedGrants;

    /** Maximum elapsed time that is counted between two checks; 0 is unlimited. */
    private final long maxCountedNanos;

    private boolean hasChecked;
    private long lastCheckAt;

    /**
     * @param machine the lease state machine of this replica
     * @param periodNanos interval at which {@link #expiredCommands} is called while this process is
     *     not paused
     */
    public LeaseExpiryMonitor(LeaseStateMachine machine, long periodNanos) {
        this(machine, ClockDriftBound.STANDARD, Map.of(), periodNanos);
    }

    /**
     * @param observedGrants grants observed so far, by lease name
     * @param periodNanos 0: checks are not periodic, and all time that passes on the clock is
     *     counted
     */
    LeaseExpiryMonitor(
            LeaseStateMachine machine,
            ClockDriftBound drift,
            Map<String, ObservedGrant> observedGrants,
            long periodNanos) {
        this.machine = machine;
        this.drift = drift;
        this.observedGrants = new HashMap<>(observedGrants);
        maxCountedNanos = MAX_COUNTED_PERIODS * periodNanos;
    }

    /** A copy of the observed grants by lease name, for model checks. */
    Map<String, ObservedGrant> observedGrants() {
        return Map.copyOf(observedGrants);
    }

    @Override
    public void epochStarted(long epoch, long nowNanos) {
        observedGrants.clear();
        hasChecked = false;
        for (LeaseStateMachine.HeldLease lease : machine.heldLeases()) {
            long observedAt = inheritedObservedAt(nowNanos, lease.ttlNanos());
            observedGrants.put(
                    lease.name(), new ObservedGrant(lease.token(), lease.renewals(), observedAt));
        }
    }

    /**
     * The time from which a grant that precedes the leader's term is timed. Overridden only by
     * model checks and simulations that remove this safeguard.
     */
    long inheritedObservedAt(long nowNanos, long ttlNanos) {
        return nowNanos;
    }

    @Override
    public List<byte[]> expiredCommands(long nowNanos) {
        Map<String, ObservedGrant> previous = new HashMap<>(observedGrants);
        observedGrants.clear();
        long jumpNanos = jumpSinceLastCheck(nowNanos);
        hasChecked = true;
        lastCheckAt = nowNanos;
        List<byte[]> expirations = new ArrayList<>();
        for (LeaseStateMachine.HeldLease lease : machine.heldLeases()) {
            ObservedGrant grant = observe(lease, previous.get(lease.name()), nowNanos, jumpNanos);
            observedGrants.put(lease.name(), grant);
            long durationNanos = drift.maxLocalNanos(lease.ttlNanos()) + maxCountedNanos;
            if (nowNanos - grant.observedAt >= durationNanos) {
                expirations.add(
                        new LeaseCommand.Expire(lease.name(), lease.token(), lease.renewals())
                                .encode());
            }
        }
        return expirations;
    }

    private long jumpSinceLastCheck(long nowNanos) {
        if (!hasChecked || maxCountedNanos <= 0) {
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
        return jumpNanos > 0 ? previous.shiftedBy(jumpNanos) : previous;
    }
}
