// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.concurrent.TimeUnit;

/**
 * Bounds that {@link LeaseStateMachine} enforces. Every replica must have the same, so they are
 * constants of the program's version and not settings; only model checks use others.
 *
 * @param minTtlNanos shortest time to live, in nanoseconds
 * @param maxTtlNanos longest time to live, in nanoseconds
 * @param maxLeases number of leases held at a time
 * @param maxWaitersPerLease number of sessions queued for one lease
 */
record LeaseLimits(long minTtlNanos, long maxTtlNanos, int maxLeases, int maxWaitersPerLease) {
    /** Longest name of a lease, in bytes of UTF-8. */
    static final int MAX_NAME_BYTES = 128;

    /** Longest payload of a fenced action, in bytes; a log entry has at most 64 KiB. */
    static final int MAX_PAYLOAD_BYTES = 32 * 1024;

    /** The bounds of the product. */
    static final LeaseLimits STANDARD =
            new LeaseLimits(TimeUnit.SECONDS.toNanos(1), TimeUnit.HOURS.toNanos(1), 1024, 1024);
}
