// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static calicostream.lease.LeaseModelMember.NOW;

import calicostream.prove.Mutant;

/** Reports the transitions of one member from one state of {@link LeaseModel}. */
final class LeaseModelMemberTransitions {
    private static final byte NONE = 0;

    private final LeaseModelBounds bounds;
    private final LeaseComponents components;
    private final LeaseTransitions log;
    private final LeaseModelInvariants invariants;
    private final LeaseModelState state;
    private final int memberIndex;
    private final LeaseModelMember member;

    LeaseModelMemberTransitions(
            LeaseModelBounds bounds,
            LeaseComponents components,
            LeaseTransitions log,
            LeaseModelInvariants invariants,
            LeaseModelState state,
            int memberIndex) {
        this.bounds = bounds;
        this.components = components;
        this.log = log;
        this.invariants = invariants;
        this.state = state;
        this.memberIndex = memberIndex;
        member = state.member(memberIndex);
    }

    /** Reports all transitions of the member. */
    void reportAll() {
        send();
        deliverCommands();
        receiveAnswer();
        receiveGrant();
        execute();
        beginActions();
        changeIntent();
        endSession();
    }

    private LeaseHolder createHolder() {
        return member.createHolder(components, bounds.ttlUnits());
    }

    private void report(LeaseModelAction action, LeaseModelState next) {
        invariants.reportTransition(action, memberIndex, 0, next);
    }

    /**
     * Reports a transition to a state in which the member's holder has the given holder's state.
     */
    private void report(LeaseModelAction action, LeaseModelState next, LeaseHolder holder) {
        next.member(memberIndex).storeHolder(holder, bounds.ttlUnits());
        report(action, next);
    }

    private void send() {
        if (member.hasCommand() || member.session() == LeaseModelMember.SESSION_END_KNOWN) {
            return;
        }
        LeaseHolder holder = createHolder();
        LeaseHolder.Request request = holder.nextRequest(NOW);
        if (request == null) {
            return;
        }
        LeaseModelState next = state.copy();
        LeaseModelMember sender = next.member(memberIndex);
        sender.storeHolder(holder, bounds.ttlUnits());
        LeaseCommand command = request.command();
        sendCommand(sender, LeaseTransitions.kind(command), LeaseTransitions.token(command));
        report(LeaseModelAction.SEND, next);
    }

    /**
     * Sends a command under a new number. Copies of earlier commands are rejected by the session,
     * so they are dropped unless that safeguard is removed.
     */
    private void sendCommand(LeaseModelMember sender, byte kind, byte token) {
        boolean hasKeptCopy = false;
        for (int copy = 0; copy < LeaseModelMember.MAX_COPIES; copy++) {
            boolean keepsCopy =
                    sender.copyKind(copy) != 0
                            && components.isRemoved(Mutant.SESSION_RETRIED_WITHOUT_NUMBER)
                            && !hasKeptCopy;
            if (keepsCopy) {
                sender.setCopy(copy, sender.copyKind(copy), sender.copyToken(copy), true);
                hasKeptCopy = true;
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
        boolean isInTransit = false;
        int freeIndex = -1;
        for (int copy = 0; copy < LeaseModelMember.MAX_COPIES; copy++) {
            isInTransit |= member.copyKind(copy) != 0 && !member.isCopyOutdated(copy);
            freeIndex = member.copyKind(copy) == 0 ? copy : freeIndex;
        }
        for (int copy = 0; copy < LeaseModelMember.MAX_COPIES; copy++) {
            if (member.copyKind(copy) != 0) {
                deliver(copy);
                if (freeIndex >= 0 && state.duplicatesLeft() > 0) {
                    duplicate(copy, freeIndex);
                }
            }
        }
        if (member.hasCommand() && !isInTransit && freeIndex >= 0) {
            LeaseModelState next = state.copy();
            next.member(memberIndex)
                    .setCopy(freeIndex, member.commandKind(), member.commandToken(), false);
            report(LeaseModelAction.REPEAT, next);
        }
    }

    private void duplicate(int copy, int freeIndex) {
        LeaseModelState next = state.copy();
        next.consumeDuplicate();
        next.member(memberIndex)
                .setCopy(
                        freeIndex,
                        member.copyKind(copy),
                        member.copyToken(copy),
                        member.isCopyOutdated(copy));
        invariants.reportTransition(LeaseModelAction.DUPLICATE, memberIndex, copy, next);
    }

    private void deliver(int copy) {
        if (member.session() != LeaseModelMember.SESSION_ALIVE) {
            return; // Treated as lost; another transition notifies the member of the session's end.
        }
        LeaseModelState next = state.copy();
        LeaseModelMember sender = next.member(memberIndex);
        sender.clearCopy(copy);
        if (member.isCommandApplied()
                && !components.isRemoved(Mutant.SESSION_RETRIED_WITHOUT_NUMBER)) {
            sender.setAnswer(member.appliedAnswer(), member.appliedAnswerToken());
            invariants.reportTransition(LeaseModelAction.APPLY, memberIndex, copy, next);
            return;
        }
        if (!exceedsBounds(member.copyKind(copy)) && apply(copy, next)) {
            invariants.reportTransition(LeaseModelAction.APPLY, memberIndex, copy, next);
        }
    }

    private boolean exceedsBounds(byte kind) {
        int snapshotId = state.snapshotId();
        if (kind == LeaseTransitions.ACQUIRE) {
            return log.machine(snapshotId).lastToken() >= bounds.tokens();
        }
        return kind == LeaseTransitions.RENEW && log.renewals(snapshotId) >= bounds.renewals();
    }

    private boolean apply(int copy, LeaseModelState next) {
        byte kind = member.copyKind(copy);
        byte token = member.copyToken(copy);
        boolean isAction = kind == LeaseTransitions.FENCED_ACTION;
        byte actionBit = isAction ? (byte) (1 << memberIndex * 2 + member.logActionsLeft()) : NONE;
        LeaseTransitions.Transition transition =
                log.apply(next.snapshotId(), memberIndex + 1, kind, token, actionBit);
        if (!invariants.recordTransition(
                LeaseModelAction.APPLY, memberIndex, copy, next, transition)) {
            return false;
        }
        if (transition.actionToken() != 0
                && !invariants.recordLogAction(memberIndex, copy, next, actionBit, token)) {
            return false;
        }
        if (!member.isCopyOutdated(copy)) {
            LeaseModelMember sender = next.member(memberIndex);
            sender.setApplied(transition.answer(), transition.answerToken());
            sender.setAnswer(transition.answer(), transition.answerToken());
        }
        return true;
    }

    private void receiveAnswer() {
        if (member.answer() == 0) {
            return;
        }
        LeaseModelState next = state.copy();
        LeaseModelMember receiver = next.member(memberIndex);
        receiver.clearAnswer();
        if (member.commandKind() == LeaseTransitions.FENCED_ACTION) {
            receiver.clearCommand();
        } else if (member.hasCommand()) {
            LeaseHolder holder = createHolder();
            LeaseTransitions.deliverAnswer(holder, member.answer(), member.answerToken());
            receiver.storeHolder(holder, bounds.ttlUnits());
        }
        report(LeaseModelAction.RECEIVE_ANSWER, next);
    }

    private void receiveGrant() {
        if (member.grantEvent() == 0) {
            return;
        }
        LeaseModelState next = state.copy();
        next.member(memberIndex).setGrantEvent(NONE);
        LeaseHolder holder = createHolder();
        holder.onGranted(NOW, member.grantEvent());
        report(LeaseModelAction.RECEIVE_GRANT, next, holder);
    }

    private void execute() {
        byte token = member.checkedToken();
        if (token == 0) {
            return;
        }
        LeaseModelState next = state.copy();
        next.member(memberIndex).setCheckedToken(NONE);
        FencingTokenGuard guard =
                components.createTokenGuard(LeaseTransitions.LEASE, state.resourceToken());
        if (guard.admit(LeaseTransitions.LEASE, token).isEmpty()) {
            invariants.checkResourceAction(memberIndex, token, state.resourceToken());
        }
        next.setResourceToken(guard.highestToken(LeaseTransitions.LEASE));
        report(LeaseModelAction.EXECUTE, next);
    }

    private void beginActions() {
        if (!createHolder().mayAct(NOW)) {
            return;
        }
        if (member.checkedToken() == 0 && member.resourceActionsLeft() > 0) {
            LeaseModelState next = state.copy();
            LeaseModelMember actor = next.member(memberIndex);
            actor.consumeResourceAction();
            actor.setCheckedToken(member.token());
            report(LeaseModelAction.CHECK, next);
        }
        if (!member.hasCommand() && member.logActionsLeft() > 0) {
            LeaseModelState next = state.copy();
            LeaseModelMember actor = next.member(memberIndex);
            actor.consumeLogAction();
            sendCommand(actor, LeaseTransitions.FENCED_ACTION, member.token());
            report(LeaseModelAction.SUBMIT_ACTION, next);
        }
    }

    private void changeIntent() {
        boolean isQueuedOrGranted = member.phase().compareTo(LeaseHolder.Phase.WAITING) >= 0;
        if (member.isWanted() && member.stopsLeft() > 0 && isQueuedOrGranted) {
            LeaseHolder releasing = createHolder();
            releasing.release();
            stop(LeaseModelAction.RELEASE, releasing);
            LeaseHolder transferring = createHolder();
            transferring.transfer(LeaseCommand.Transfer.FIRST_WAITER);
            stop(LeaseModelAction.TRANSFER, transferring);
        } else if (!member.isWanted() && member.session() == LeaseModelMember.SESSION_ALIVE) {
            LeaseModelState next = state.copy();
            next.member(memberIndex).setWanted();
            report(LeaseModelAction.ACQUIRE, next);
        }
    }

    private void stop(LeaseModelAction action, LeaseHolder stopped) {
        LeaseModelState next = state.copy();
        next.member(memberIndex).consumeStop();
        report(action, next, stopped);
    }

    private void endSession() {
        if (member.session() == LeaseModelMember.SESSION_ALIVE && state.sessionEndsLeft() > 0) {
            LeaseModelState next = state.copy();
            next.consumeSessionEnd();
            next.member(memberIndex).setSession(LeaseModelMember.SESSION_ENDED);
            LeaseTransitions.Transition transition =
                    log.apply(
                            next.snapshotId(),
                            memberIndex + 1,
                            LeaseTransitions.SESSION_ENDED,
                            NONE,
                            NONE);
            if (invariants.recordTransition(
                    LeaseModelAction.END_SESSION, memberIndex, 0, next, transition)) {
                report(LeaseModelAction.END_SESSION, next);
            }
        } else if (member.session() == LeaseModelMember.SESSION_ENDED) {
            LeaseModelState next = state.copy();
            LeaseHolder holder = createHolder();
            holder.onSessionEnded(NOW);
            holder.release();
            LeaseModelMember memberAfter = next.member(memberIndex);
            memberAfter.storeHolder(holder, bounds.ttlUnits());
            memberAfter.setSession(LeaseModelMember.SESSION_END_KNOWN);
            memberAfter.clearCommand();
            report(LeaseModelAction.LEARN_SESSION_END, next);
        }
    }
}
