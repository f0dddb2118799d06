// SPDX-License-Identifier: Apache-2.0
/**
 * What a voter must not forget: its log, term and vote, and snapshots, kept on disks that tear,
 * rot, fill up and lie, with the marks by which a member notices that its disk has forgotten. It
 * knows bytes and indexes, not commands, consensus, sockets or peers: what peers remember is handed
 * in. Read {@link calicostream.durable.DurableLog} first, then {@link
 * calicostream.durable.StateLossDetector}.
 */
package calicostream.durable;
