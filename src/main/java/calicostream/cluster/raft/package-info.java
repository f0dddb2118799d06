// SPDX-License-Identifier: Apache-2.0

/**
 * Owns how the consensus library, MicroRaft, is put on the cluster's ports: its messages as bytes
 * over links, its store over a log, its clock, timers and randomness from outside, and what a voter
 * does with requests. It does not know what is replicated, nor sockets, nor files; nothing outside
 * this package names a type of the library. Read {@link calicostream.cluster.raft.VoterNode} first.
 */
package calicostream.cluster.raft;
