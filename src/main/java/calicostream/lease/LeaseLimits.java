// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.concurrent.TimeUnit;

/**
 * Bounds that the machine keeps to. Every copy must have the same, so they are part of the
 * program's version and no setting; the proofs alone make others. Spans are nanoseconds.
 */
record LeaseLimits(long leastTtl, long mostTtl, int leases, int waiters) {
    static final int NAME = 128; // bytes of UTF-8
    static final int PAYLOAD = 32 * 1024; // of an act: the log takes 64 KB
    static final LeaseLimits STANDARD =
            new LeaseLimits(TimeUnit.SECONDS.toNanos(1), TimeUnit.HOURS.toNanos(1), 1024, 1024);
}
