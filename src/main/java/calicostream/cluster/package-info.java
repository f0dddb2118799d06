// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the replicated state of a cluster: one deterministic state that every voter applies alike,
 * the sessions of its members with exactly-once commands, and the ports ({@code PeerTransport},
 * {@code EventLoop}) that consensus and members run on. It does not know what the state machines
 * composed into it mean (leases, budgets), nor any request, engine or client protocol of the front
 * ends. Read {@link calicostream.cluster.StateMachine} first, then {@link
 * calicostream.cluster.ReplicatedState}, which composes state machines and sessions.
 */
package calicostream.cluster;
