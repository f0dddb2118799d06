// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

/** A safeguard that a simulation can disable, to show that the checks detect its absence. */
enum Safeguard {
    /** A retry has the sequence number of the first attempt. */
    COMMAND_SEQUENCE_NUMBERS,
    /** A restarted voter does not vote before its peers confirmed its state. */
    VOTER_RECOVERY_HANDSHAKE,
    /** A disk keeps what it acknowledged as synced. */
    DISK_SYNC,
    /** A member stops to rely on its session before the leader can expire it. */
    EARLY_SESSION_END
}
