// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/** What a member may do with the log that it found. */
public enum RecoveryVerdict {
    /** It remembers all that it promised: it may vote, and its acknowledgements count. */
    VOTER,
    /**
     * Too few peers have told what they remember of it: it neither votes nor acknowledges until
     * they have.
     */
    WAIT,
    /**
     * It has forgotten, or may have: it neither votes nor counts until the group has admitted it
     * anew.
     */
    LEARNER,
    /** This folder must not be used at all: an operator decides. */
    REFUSE
}
