// SPDX-License-Identifier: Apache-2.0

/**
 * Owns how the consensus library, MicroRaft, runs on the cluster's ports: the encoding of its
 * messages, its store on a durable log, its clock and timers, the recovery handshake before a voter
 * takes part, and how a voter serves proposals and reads. It does not know what is replicated, nor
 * sockets, files or threads; production code outside names no type of the library. Read {@link
 * calicostream.cluster.raft.VoterNode} first.
 */
package calicostream.cluster.raft;
