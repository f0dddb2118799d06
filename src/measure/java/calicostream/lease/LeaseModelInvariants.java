// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.prove.Model;

/**
 * Reports the transitions from one state of {@link LeaseModel} and checks the invariants on them:
 * tokens grow, the log and the resource accept actions in the order of tokens, the log accepts none
 * twice, and by their own clocks no two members hold the lease.
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

    /** Reports a transition, and the violation if it leads to two holders. */
    void transition(LeaseModelAction action, int member, int message, LeaseModelState next) {
        int number = action.number(member, message);
        transitions.to(number, next.bytes());
        int holders = 0;
        for (int each = 0; each < bounds.members(); each++) {
            LeaseModelMember candidate = next.member(each);
            if (candidate.isHeld()
                    && candidate
                            .holder(components, bounds.ttlUnits())
                            .isValidAt(LeaseModelMember.NOW)) {
                holders++;
            }
        }
        if (holders > 1 && bounds.clocksKeepTheirBound()) {
            transitions.violation(number, holders + " members hold the lease by their clocks");
        }
    }

    /**
     * Takes over what a command did to the lease.
     *
     * @return false if it violates an invariant
     */
    boolean applied(
            LeaseModelAction action,
            int member,
            int message,
            LeaseModelState next,
            LeaseTransitions.Transition transition) {
        next.setMachine(transition.next());
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
     * @param bit identifies the action
     * @return false if it violates an invariant
     */
    boolean actionApplied(int member, int message, LeaseModelState next, byte bit, byte token) {
        int number = LeaseModelAction.APPLY.number(member, message);
        if (next.isActionApplied(bit)) {
            transitions.violation(
                    number, "an action of member " + (member + 1) + " is applied twice");
            return false;
        }
        if (token < next.logToken()) {
            transitions.violation(
                    number,
                    "the log accepts an action under token "
                            + token
                            + " after one under "
                            + next.logToken());
            return false;
        }
        next.setActionApplied(bit, token);
        return true;
    }

    /** The resource accepted an action under that token. */
    void actionExecuted(int member, byte token, byte highestToken) {
        if (token < highestToken) {
            transitions.violation(
                    LeaseModelAction.EXECUTE.number(member, 0),
                    "the resource accepts an action under token "
                            + token
                            + " after one under "
                            + highestToken);
        }
    }
}
