// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The binary snapshot of {@link LeaseStateMachine} in format version 1, specified in {@code
 * docs/design/lease.md}. Every later version must be able to read it.
 *
 * @param lastToken the greatest token ever granted
 * @param leases the held leases by name
 */
record LeaseSnapshot(long lastToken, TreeMap<String, Lease> leases) {
    private static final int VERSION = 1;

    /** Encoded size of a waiter, in bytes. */
    private static final int WAITER_BYTES = 16;

    /** Encoded size of a lease with an empty name and an empty queue, in bytes. */
    private static final int MIN_LEASE_BYTES = 41;

    byte[] encode() {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer().u8(VERSION).i64(lastToken).i32(leases.size());
        leases.forEach((name, lease) -> write(out, name, lease));
        return out.toByteArray();
    }

    private static void write(BinaryCodec.Writer out, String name, Lease lease) {
        LeaseStateMachine.HeldLease grant = lease.view(name);
        out.text(name)
                .i64(grant.session())
                .i64(grant.token())
                .i64(grant.renewals())
                .i64(grant.ttlNanos())
                .u8(grant.sessionEnded() ? 1 : 0)
                .i32(grant.waiterCount());
        lease.waiters().forEach(waiter -> out.i64(waiter.session()).i64(waiter.ttlNanos()));
    }

    /**
     * @throws calicostream.cluster.ClusterException.Malformed if the bytes are not a lease
     *     snapshot, a name occurs twice, or a token is greater than the last token
     */
    static LeaseSnapshot decode(byte[] snapshot) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("lease snapshot", snapshot);
        in.requireVersion(VERSION);
        long lastToken = in.i64();
        TreeMap<String, Lease> leases = new TreeMap<>();
        for (int remaining = in.count(MIN_LEASE_BYTES); remaining > 0; remaining--) {
            String name = in.text(LeaseLimits.MAX_NAME_BYTES);
            Lease lease = read(in, name);
            if (lease.token() > lastToken || leases.put(name, lease) != null) {
                throw in.malformed(
                        "lease "
                                + name
                                + " occurs twice, or its token is greater than the last token");
            }
        }
        in.requireEnd();
        return new LeaseSnapshot(lastToken, leases);
    }

    private static Lease read(BinaryCodec.Reader in, String name) {
        long session = in.i64();
        long token = in.i64();
        long renewals = in.i64();
        long ttlNanos = in.i64();
        boolean sessionEnded = in.u8() != 0;
        List<Lease.Waiter> waiters = new ArrayList<>();
        for (int remaining = in.count(WAITER_BYTES); remaining > 0; remaining--) {
            waiters.add(new Lease.Waiter(in.i64(), in.i64()));
        }
        return new Lease(
                new LeaseStateMachine.HeldLease(
                        name, session, token, renewals, ttlNanos, sessionEnded, waiters.size()),
                waiters);
    }
}
