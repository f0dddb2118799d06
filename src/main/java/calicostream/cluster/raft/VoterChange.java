// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import io.microraft.MembershipChangeMode;

/** A change of one voter: it learns, is promoted to a voter, or goes. */
public enum VoterChange {
    LEARN(MembershipChangeMode.ADD_LEARNER),
    PROMOTE(MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER),
    REMOVE(MembershipChangeMode.REMOVE_MEMBER);

    final MembershipChangeMode mode;

    VoterChange(MembershipChangeMode mode) {
        this.mode = mode;
    }
}
