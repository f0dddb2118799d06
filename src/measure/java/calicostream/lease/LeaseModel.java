// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static calicostream.lease.LeaseModelMember.NOW;

import calicostream.prove.Model;
import calicostream.prove.Mutant;
import java.util.ArrayList;
import java.util.List;

/**
 * A model of members that acquire one lease, a log whose leader changes, and a resource, with every
 * order of messages. Commands, answers and events are delayed, duplicated, repeated, or lost: a
 * lost message never arrives or is replaced by a later one. A member may be paused between its
 * check and its action, clocks run slow or fast, leaders change, and sessions end. {@link
 * LeaseStateMachine}, {@link LeaseHolder}, {@link LeaseExpiryMonitor} and {@link FencingTokenGuard}
 * are the production classes.
 *
 * <p>{@link LeaseModelInvariants} defines the invariants. That no two members hold the lease at the
 * same time is checked only if all clocks stay within the clock drift bound.
 */
public final class LeaseModel implements Model {
    private static final ClockDriftBound DRIFT = new ClockDriftBound(250_000);
    private static final LeaseLimits LIMITS = new LeaseLimits(1, 100, 4, 8);
    private static final int LEADER_SESSION = 0;

    private final LeaseModelBounds bounds;
    private final LeaseComponents components;
    private final LeaseTransitions log;

    /**
     * @param removed the safeguard to remove; null for none
     */
    public LeaseModel(LeaseModelBounds bounds, Mutant removed) {
        this.bounds = bounds;
        components = new LeaseComponents(removed, LIMITS, DRIFT);
        log = new LeaseTransitions(components, bounds.ttlUnits());
    }

    @Override
    public String name() {
        return "lease " + bounds.name();
    }

    @Override
    public List<byte[]> initial() {
        List<byte[]> states = new ArrayList<>();
        for (int index = 0; index < bounds.clocks().size(); index++) {
            states.add(LeaseModelState.initial(bounds, index).bytes());
        }
        return states;
    }

    @Override
    public String describe(int action) {
        return LeaseModelAction.describe(action);
    }

    @Override
    public void transitions(byte[] bytes, Transitions transitions) {
        LeaseModelState state = new LeaseModelState(bytes);
        LeaseModelInvariants invariants = new LeaseModelInvariants(bounds, components, transitions);
        tick(state, invariants);
        checkForExpiry(state, invariants);
        loseOrApplyExpiry(state, invariants);
        changeLeader(state, invariants);
        for (int member = 0; member < bounds.members(); member++) {
            new LeaseModelMemberTransitions(bounds, components, log, invariants, state, member)
                    .reportAll();
        }
    }

    private void tick(LeaseModelState state, LeaseModelInvariants invariants) {
        LeaseModelState next = state.copy();
        String clocks = bounds.clocks().get(state.clocksIndex());
        for (int member = 0; member < bounds.members(); member++) {
            next.member(member)
                    .advanceClock(unitsPerTick(clocks.charAt(member + 1)), bounds.ttlUnits());
        }
        next.advanceLeaderClock(unitsPerTick(clocks.charAt(0)), expiryUnits());
        invariants.reportTransition(LeaseModelAction.TICK, 0, 0, next);
    }

    private static int unitsPerTick(char clock) {
        return switch (clock) {
            case 's' -> 3;
            case 'e' -> 4;
            case 'f' -> 5;
            default -> 0;
        };
    }

    private void checkForExpiry(LeaseModelState state, LeaseModelInvariants invariants) {
        LeaseModelState next = state.copy();
        LeaseExpiryMonitor monitor = expiryMonitor(state);
        List<byte[]> expirations = monitor.expiredCommands(NOW);
        storeObservedGrant(next, monitor);
        if (!expirations.isEmpty() && !state.hasExpiry()) {
            LeaseCommand.Expire expire =
                    (LeaseCommand.Expire) LeaseCommand.decode(expirations.get(0));
            next.setExpiry(expire.token(), expire.renewals());
        }
        invariants.reportTransition(LeaseModelAction.CHECK_EXPIRY, 0, 0, next);
    }

    private void loseOrApplyExpiry(LeaseModelState state, LeaseModelInvariants invariants) {
        if (!state.hasExpiry()) {
            return;
        }
        LeaseModelState stateAfterLoss = state.copy();
        stateAfterLoss.setExpiry(0, 0);
        invariants.reportTransition(LeaseModelAction.LOSE_EXPIRY, 0, 0, stateAfterLoss);
        LeaseModelState stateAfterExpiry = stateAfterLoss.copy();
        LeaseTransitions.Transition transition =
                log.apply(
                        state.snapshotId(),
                        LEADER_SESSION,
                        LeaseTransitions.EXPIRE,
                        state.expiryToken(),
                        state.expiryRenewals());
        if (invariants.recordTransition(
                LeaseModelAction.APPLY_EXPIRY, 0, 0, stateAfterExpiry, transition)) {
            invariants.reportTransition(LeaseModelAction.APPLY_EXPIRY, 0, 0, stateAfterExpiry);
        }
    }

    private void changeLeader(LeaseModelState state, LeaseModelInvariants invariants) {
        if (state.leaderChangesLeft() == 0) {
            return;
        }
        LeaseModelState next = state.copy();
        next.changeLeader();
        LeaseExpiryMonitor monitor = expiryMonitor(state);
        monitor.epochStarted(1, NOW);
        storeObservedGrant(next, monitor);
        invariants.reportTransition(LeaseModelAction.CHANGE_LEADER, 0, 0, next);
    }

    private LeaseExpiryMonitor expiryMonitor(LeaseModelState state) {
        return components.createExpiryMonitor(
                log.machine(state.snapshotId()), state.observedGrants(), 0);
    }

    private void storeObservedGrant(LeaseModelState next, LeaseExpiryMonitor monitor) {
        next.setObservedGrant(monitor.observedGrants().get(LeaseTransitions.LEASE), expiryUnits());
    }

    private long expiryUnits() {
        return components.drift().maxLocalNanos(bounds.ttlUnits());
    }
}
