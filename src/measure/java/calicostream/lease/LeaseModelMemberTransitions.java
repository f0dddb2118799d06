// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static calicostream.lease.LeaseModelMember.NOW;

import calicostream.prove.Mutant;

/** The transitions of one member from one state of {@link LeaseModel}. */
final class LeaseModelMemberTransitions {
    private static final byte NONE = 0;

    private final LeaseModelBounds bounds;
    private final LeaseComponents components;
    private final LeaseTransitions log;
    private final LeaseModelInvariants invariants;
    private final LeaseModelState state;
    private final int index;
    private final LeaseModelMember member;

    LeaseModelMemberTransitions(
            LeaseModelBounds bounds,
            LeaseComponents components,
            LeaseTransitions log,
            LeaseModelInvariants invariants,
            LeaseModelState state,
            int index) {
        this.bounds = bounds;
        this.components = components;
        this.log = log;
        this.invariants = invariants;
        this.state = state;
        this.index = index;
        member = state.member(index);
    }

    /** Reports all of them. */
    void report() {
        send();
        deliverCommands();
        receiveAnswer();
        receiveGrant();
        execute();
        beginActions();
        changeIntent();
        endSession();
    }

    private LeaseHolder holder() {
        return member.holder(components, bounds.ttlUnits());
    }

    private void to(LeaseModelAction action, LeaseModelState next) {
        invariants.transition(action, index, 0, next);
    }

    /** Reports the transition after which the member's holder is the one given. */
    private void to(LeaseModelAction action, LeaseModelState next, LeaseHolder holder) {
        next.member(index).store(holder, bounds.ttlUnits());
        to(action, next);
    }

    // ---- Commands

    private void send() {
        if (member.hasCommand() || member.session() == LeaseModelMember.SESSION_END_KNOWN) {
            return;
        }
        LeaseHolder holder = holder();
        LeaseHolder.Request request = holder.nextRequest(NOW);
        if (request == null) {
            return;
        }
        LeaseModelState next = state.copy();
        LeaseModelMember sender = next.member(index);
        sender.store(holder, bounds.ttlUnits());
        LeaseCommand command = request.command();
        sendCommand(sender, LeaseTransitions.kind(command), LeaseTransitions.token(command));
        to(LeaseModelAction.SEND, next);
    }

    /**
     * Sends a command under a new number. Copies of earlier commands are rejected by the session,
     * and matter only if that safeguard is removed.
     */
    private void sendCommand(LeaseModelMember sender, byte kind, byte token) {
        boolean kept = false;
        for (int copy = 0; copy < LeaseModelMember.COPIES; copy++) {
            boolean keeps =
                    sender.copyKind(copy) != 0
                            && components.isRemoved(Mutant.SESSION_RETRIED_WITHOUT_NUMBER)
                            && !kept;
            if (keeps) {
                sender.setCopy(copy, sender.copyKind(copy), sender.copyToken(copy), true);
                kept = true;
            } else {
                sender.clearCopy(copy);
            }
        }
        sender.clearApplied();
        sender.clearAnswer();
        sender.setCommand(kind, token);
        sender.setCopy(sender.copyKind(0) == 0 ? 0 : 1, kind, token, false);
    }

    private void deliverCommands() {
        boolean underWay = false;
        int free = -1;
        for (int copy = 0; copy < LeaseModelMember.COPIES; copy++) {
            underWay |= member.copyKind(copy) != 0 && !member.isCopyOutdated(copy);
            free = member.copyKind(copy) == 0 ? copy : free;
        }
        for (int copy = 0; copy < LeaseModelMember.COPIES; copy++) {
            if (member.copyKind(copy) != 0) {
                deliver(copy);
                if (free >= 0 && state.duplicatesLeft() > 0) {
                    duplicate(copy, free);
                }
            }
        }
        if (member.hasCommand() && !underWay && free >= 0) {
            LeaseModelState next = state.copy();
            next.member(index).setCopy(free, member.commandKind(), member.commandToken(), false);
            to(LeaseModelAction.REPEAT, next);
        }
    }

    private void duplicate(int copy, int free) {
        LeaseModelState next = state.copy();
        next.useDuplicate();
        next.member(index)
                .setCopy(
                        free,
                        member.copyKind(copy),
                        member.copyToken(copy),
                        member.isCopyOutdated(copy));
        invariants.transition(LeaseModelAction.DUPLICATE, index, copy, next);
    }

    private void deliver(int copy) {
        if (member.session() != LeaseModelMember.SESSION_ALIVE) {
            return; // As if lost: the member learns of the session's end by another transition.
        }
        LeaseModelState next = state.copy();
        LeaseModelMember sender = next.member(index);
        sender.clearCopy(copy);
        if (member.isApplied() && !components.isRemoved(Mutant.SESSION_RETRIED_WITHOUT_NUMBER)) {
            sender.setAnswer(member.appliedAnswer(), member.appliedAnswerToken());
            invariants.transition(LeaseModelAction.APPLY, index, copy, next);
            return;
        }
        if (!exceedsBounds(member.copyKind(copy)) && apply(copy, next)) {
            invariants.transition(LeaseModelAction.APPLY, index, copy, next);
        }
    }

    private boolean exceedsBounds(byte kind) {
        int machine = state.machine();
        if (kind == LeaseTransitions.ACQUIRE) {
            return log.machine(machine).lastToken() >= bounds.tokens();
        }
        return kind == LeaseTransitions.RENEW && log.renewals(machine) >= bounds.renewals();
    }

    private boolean apply(int copy, LeaseModelState next) {
        byte kind = member.copyKind(copy);
        byte token = member.copyToken(copy);
        boolean isAction = kind == LeaseTransitions.ACT;
        byte actionBit = isAction ? (byte) (1 << index * 2 + member.logActionsLeft()) : NONE;
        LeaseTransitions.Transition transition =
                log.apply(next.machine(), index + 1, kind, token, actionBit);
        if (!invariants.applied(LeaseModelAction.APPLY, index, copy, next, transition)) {
            return false;
        }
        if (transition.actionToken() != 0
                && !invariants.actionApplied(index, copy, next, actionBit, token)) {
            return false;
        }
        if (!member.isCopyOutdated(copy)) {
            LeaseModelMember sender = next.member(index);
            sender.setApplied(transition.answer(), transition.answerToken());
            sender.setAnswer(transition.answer(), transition.answerToken());
        }
        return true;
    }

    // ---- Answers and events

    private void receiveAnswer() {
        if (member.answer() == 0) {
            return;
        }
        LeaseModelState next = state.copy();
        LeaseModelMember receiver = next.member(index);
        receiver.clearAnswer();
        if (member.commandKind() == LeaseTransitions.ACT) {
            receiver.clearCommand();
        } else if (member.hasCommand()) {
            LeaseHolder holder = holder();
            LeaseTransitions.deliverAnswer(holder, member.answer(), member.answerToken());
            receiver.store(holder, bounds.ttlUnits());
        }
        to(LeaseModelAction.RECEIVE_ANSWER, next);
    }

    private void receiveGrant() {
        if (member.grantEvent() == 0) {
            return;
        }
        LeaseModelState next = state.copy();
        next.member(index).setGrantEvent(NONE);
        LeaseHolder holder = holder();
        holder.onGranted(NOW, member.grantEvent());
        to(LeaseModelAction.RECEIVE_GRANT, next, holder);
    }

    // ---- Actions

    private void execute() {
        byte token = member.checkedToken();
        if (token == 0) {
            return;
        }
        LeaseModelState next = state.copy();
        next.member(index).setCheckedToken(NONE);
        FencingTokenGuard guard =
                components.createTokenGuard(LeaseTransitions.LEASE, state.resourceToken());
        if (guard.admit(LeaseTransitions.LEASE, token).isEmpty()) {
            invariants.actionExecuted(index, token, state.resourceToken());
        }
        next.setResourceToken(guard.highestToken(LeaseTransitions.LEASE));
        to(LeaseModelAction.EXECUTE, next);
    }

    private void beginActions() {
        if (!holder().mayAct(NOW)) {
            return;
        }
        if (member.checkedToken() == 0 && member.resourceActionsLeft() > 0) {
            LeaseModelState next = state.copy();
            LeaseModelMember actor = next.member(index);
            actor.useResourceAction();
            actor.setCheckedToken(member.token());
            to(LeaseModelAction.CHECK, next);
        }
        if (!member.hasCommand() && member.logActionsLeft() > 0) {
            LeaseModelState next = state.copy();
            LeaseModelMember actor = next.member(index);
            actor.useLogAction();
            sendCommand(actor, LeaseTransitions.ACT, member.token());
            to(LeaseModelAction.SUBMIT_ACTION, next);
        }
    }

    // ---- Intent and session

    private void changeIntent() {
        boolean isInQueueOrLater = member.phase().compareTo(LeaseHolder.Phase.WAITING) >= 0;
        if (member.isWanted() && member.stopsLeft() > 0 && isInQueueOrLater) {
            LeaseHolder releasing = holder();
            releasing.release();
            stop(LeaseModelAction.RELEASE, releasing);
            LeaseHolder transferring = holder();
            transferring.transfer(LeaseCommand.Transfer.FIRST_WAITER);
            stop(LeaseModelAction.TRANSFER, transferring);
        } else if (!member.isWanted() && member.session() == LeaseModelMember.SESSION_ALIVE) {
            LeaseModelState next = state.copy();
            next.member(index).setWanted();
            to(LeaseModelAction.ACQUIRE, next);
        }
    }

    private void stop(LeaseModelAction action, LeaseHolder stopped) {
        LeaseModelState next = state.copy();
        next.member(index).useStop();
        to(action, next, stopped);
    }

    private void endSession() {
        if (member.session() == LeaseModelMember.SESSION_ALIVE && state.sessionEndsLeft() > 0) {
            LeaseModelState next = state.copy();
            next.useSessionEnd();
            next.member(index).setSession(LeaseModelMember.SESSION_ENDED);
            LeaseTransitions.Transition transition =
                    log.apply(
                            next.machine(), index + 1, LeaseTransitions.SESSION_ENDED, NONE, NONE);
            if (invariants.applied(LeaseModelAction.END_SESSION, index, 0, next, transition)) {
                to(LeaseModelAction.END_SESSION, next);
            }
        } else if (member.session() == LeaseModelMember.SESSION_ENDED) {
            LeaseModelState next = state.copy();
            LeaseHolder holder = holder();
            holder.onSessionEnded(NOW);
            holder.release();
            LeaseModelMember former = next.member(index);
            former.store(holder, bounds.ttlUnits());
            former.setSession(LeaseModelMember.SESSION_END_KNOWN);
            former.clearCommand();
            to(LeaseModelAction.LEARN_SESSION_END, next);
        }
    }
}
