// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the write-ahead log of a voter: entries, term, vote and snapshots, on disks that may tear
 * writes, corrupt bits, fill up or drop syncs, with durability markers by which a member detects
 * that it has lost state. It knows bytes and indexes, but no commands, consensus, sockets or peers:
 * what peers observed is passed in. Read {@link calicostream.durable.DurableLog} first, then {@link
 * calicostream.durable.StateLossDetector}.
 */
package calicostream.durable;
