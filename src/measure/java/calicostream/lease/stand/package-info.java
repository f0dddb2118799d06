// SPDX-License-Identifier: Apache-2.0

/**
 * Owns a resource that real processes act on under leases, and the task that does so in them. The resource records what it was asked and
 * what it did; it can hold an act back between its sender's check and its arrival, and its fence can be left out, to show that the tests
 * see it. Read {@link calicostream.lease.stand.FencedStand} first.
 */
package calicostream.lease.stand;
