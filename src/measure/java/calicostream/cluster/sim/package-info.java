// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the deterministic simulation of whole clusters in virtual time: network, disks, clocks and
 * members in one thread from one seed, a schedule of faults, and the checks of every run. It does
 * not know what the replicated state machines mean; extensions such as leases bring their own. Read
 * {@code ClusterSimulation} first; {@link calicostream.cluster.sim.ClusterProofs} runs many.
 */
package calicostream.cluster.sim;
