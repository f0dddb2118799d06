// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import io.microraft.MembershipChangeMode;

/** A change of one voter's place in the group; immutable. */
public enum VoterChange {
    /** The voter joins as a learner: it receives the log and does not vote. */
    ADD_LEARNER("LEARN", MembershipChangeMode.ADD_LEARNER),
    /** The learner becomes a voter. */
    PROMOTE("PROMOTE", MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER),
    /** The voter or learner leaves the group. */
    REMOVE("REMOVE", MembershipChangeMode.REMOVE_MEMBER);

    private final String operatorName;
    private final MembershipChangeMode mode;

    VoterChange(String operatorName, MembershipChangeMode mode) {
        this.operatorName = operatorName;
        this.mode = mode;
    }

    /** The name that operators see in error messages and in the member's status; stable. */
    String operatorName() {
        return operatorName;
    }

    /** The consensus library's mode of this change. */
    MembershipChangeMode mode() {
        return mode;
    }
}
