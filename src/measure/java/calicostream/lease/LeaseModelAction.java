// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * The actions of {@link LeaseModel} with their descriptions. The number of an action, by which the
 * explorer identifies it, is composed of its ordinal, the member that it concerns, and the index of
 * one of the member's messages.
 */
enum LeaseModelAction {
    TICK(false, "the clocks tick"),
    SEND(true, " sends a command"),
    REPEAT(true, " repeats its command"),
    APPLY(true, "'s command is applied"),
    DUPLICATE(true, "'s command is duplicated"),
    RECEIVE_ANSWER(true, " receives the answer"),
    RECEIVE_GRANT(true, " receives the event of its grant"),
    CHECK(true, " checks its lease and begins an action"),
    EXECUTE(true, "'s action reaches the resource"),
    SUBMIT_ACTION(true, " submits an action in the log"),
    RELEASE(true, " stops and releases"),
    TRANSFER(true, " stops and transfers"),
    ACQUIRE(true, " starts to acquire the lease again"),
    CHECK_EXPIRY(false, "the leader checks for expired leases"),
    APPLY_EXPIRY(false, "the leader's expiry is applied"),
    LOSE_EXPIRY(false, "the leader's expiry is lost"),
    CHANGE_LEADER(false, "the leader changes"),
    END_SESSION(true, "'s session ends"),
    LEARN_SESSION_END(true, " learns that its session has ended");

    private static final int ACTION_SHIFT = 6;
    private static final int MEMBER_SHIFT = 2;
    private static final int MEMBER_MASK = 15;

    private final boolean concernsMember;
    private final String description;

    LeaseModelAction(boolean concernsMember, String description) {
        this.concernsMember = concernsMember;
        this.description = description;
    }

    /**
     * @param member index of the member; 0 if the action concerns no member
     * @param message index of the member's message; 0 if the action concerns no message
     */
    int number(int member, int message) {
        return ordinal() << ACTION_SHIFT | member << MEMBER_SHIFT | message;
    }

    static String describe(int number) {
        LeaseModelAction action = values()[number >> ACTION_SHIFT];
        int member = number >> MEMBER_SHIFT & MEMBER_MASK;
        return action.concernsMember
                ? "member " + (member + 1) + action.description
                : action.description;
    }
}
