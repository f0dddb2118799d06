// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/** What a member may do with the log that it found at its start. */
public enum RecoveryVerdict {
    /** Nothing was lost: the member may vote, and its acknowledgements count. */
    VOTER,
    /**
     * Too few peers have reported what they observed of the member: it neither votes nor
     * acknowledges until they have.
     */
    WAIT,
    /**
     * State was lost, or may have been: the member neither votes nor counts until the group has
     * admitted it again.
     */
    LEARNER,
    /** The directory must not be used at all: an operator decides. */
    REFUSE
}
