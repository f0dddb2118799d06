// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.concurrent.TimeUnit;

/**
 * Limits that {@link LeaseStateMachine} enforces. They must be the same at every replica, so they
 * are constants of the program version instead of settings; only tests and model checks use other
 * values.
 *
 * @param minTtlNanos shortest time to live, in nanoseconds
 * @param maxTtlNanos longest time to live, in nanoseconds
 * @param maxLeases maximum number of leases that are held at the same time
 * @param maxWaitersPerLease maximum number of sessions queued for one lease
 */
record LeaseLimits(long minTtlNanos, long maxTtlNanos, int maxLeases, int maxWaitersPerLease) {
    /** Maximum length of a lease's name, in bytes of UTF-8. */
    static final int MAX_NAME_BYTES = 128;

    /** Maximum size of a fenced action's payload, in bytes; a log entry is at most 64 KiB. */
    static final int MAX_PAYLOAD_BYTES = 32 * 1024;

    /** The limits of the running system. */
    static final LeaseLimits STANDARD =
            new LeaseLimits(TimeUnit.SECONDS.toNanos(1), TimeUnit.HOURS.toNanos(1), 1024, 1024);
}
