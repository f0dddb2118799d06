// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the replicated state of a fleet: one pure machine that every voter applies alike, the
 * sessions of its members, and the shells that carry its commands (consensus is a library's, links
 * and store are ports). It does not know what the machines composed into it mean (leases, budgets,
 * bookings), nor any request, engine or wire of the front ends. Read {@link
 * calicostream.cluster.StateMachine} first, then {@code ReplicatedState}, which composes machines
 * and sessions.
 */
package calicostream.cluster;
