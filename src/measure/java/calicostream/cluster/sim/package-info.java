// SPDX-License-Identifier: Apache-2.0

/**
 * Owns whole clusters in virtual time: voters, members, links, disks and clocks in one thread from
 * one seed, the faults that are drawn for them, and a judge of what they did. It does not know what
 * the replicated machines mean. Read {@code ClusterSimulation} first; {@link
 * calicostream.cluster.sim.ClusterProofs} runs many.
 */
package calicostream.cluster.sim;
