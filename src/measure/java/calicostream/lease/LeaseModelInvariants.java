// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.prove.Model;

/**
 * Reports the transitions from one state of {@link LeaseModel} and checks the invariants on them:
 * each granted token is greater than the last, the log and the resource accept actions in the order
 * of their tokens, the log accepts no action twice, and no two members hold the lease at the same
 * time according to their own clocks.
 */
final class LeaseModelInvariants {
    private final LeaseModelBounds bounds;
    private final LeaseComponents components;
    private final Model.Transitions transitions;

    LeaseModelInvariants(
            LeaseModelBounds bounds, LeaseComponents components, Model.Transitions transitions) {
        this.bounds = bounds;
        this.components = components;
        this.transitions = transitions;
    }

    /** Reports a transition, and a violation if it leads to a state with several holders. */
    void reportTransition(LeaseModelAction action, int member, int message, LeaseModelState next) {
        int number = action.number(member, message);
        transitions.to(number, next.bytes());
        int holders = 0;
        for (int candidateIndex = 0; candidateIndex < bounds.members(); candidateIndex++) {
            LeaseModelMember candidate = next.member(candidateIndex);
            if (candidate.isHeld()
                    && candidate
                            .createHolder(components, bounds.ttlUnits())
                            .isValidAt(LeaseModelMember.NOW)) {
                holders++;
            }
        }
        if (holders > 1 && bounds.areClocksWithinDriftBound()) {
            transitions.violation(
                    number, holders + " members hold the lease according to their clocks");
        }
    }

    /**
     * Records the effect of a command on the lease in the next state.
     *
     * @return false if an invariant is violated
     */
    boolean recordTransition(
            LeaseModelAction action,
            int member,
            int message,
            LeaseModelState next,
            LeaseTransitions.Transition transition) {
        next.setSnapshotId(transition.next());
        byte token = transition.grantedToken();
        if (token == 0) {
            return true;
        }
        if (token <= next.grantedToken()) {
            transitions.violation(
                    action.number(member, message),
                    "token " + token + " is granted after token " + next.grantedToken());
            return false;
        }
        next.setGrantedToken(token);
        next.member(transition.grantedSession() - 1).setGrantEvent(token);
        return true;
    }

    /**
     * Records an action that the log accepted.
     *
     * @param actionBit bit that identifies the action
     * @return false if an invariant is violated
     */
    boolean recordLogAction(
            int member, int message, LeaseModelState next, byte actionBit, byte token) {
        int number = LeaseModelAction.APPLY.number(member, message);
        if (next.isActionApplied(actionBit)) {
            transitions.violation(
                    number, "an action of member " + (member + 1) + " is applied twice");
            return false;
        }
        if (token < next.logToken()) {
            transitions.violation(
                    number,
                    "the log accepts an action under token "
                            + token
                            + " after an action under token "
                            + next.logToken());
            return false;
        }
        next.setActionApplied(actionBit, token);
        return true;
    }

    /**
     * Checks an action that the resource accepted, and reports a violation if its token is
     * outdated.
     */
    void checkResourceAction(int member, byte token, byte highestToken) {
        if (token < highestToken) {
            transitions.violation(
                    LeaseModelAction.EXECUTE.number(member, 0),
                    "the resource accepts an action under token "
                            + token
                            + " after an action under token "
                            + highestToken);
        }
    }
}
