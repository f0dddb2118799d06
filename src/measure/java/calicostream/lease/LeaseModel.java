// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static calicostream.lease.LeaseModelMember.NOW;

import calicostream.prove.Model;
import calicostream.prove.Mutant;
import java.util.ArrayList;
import java.util.List;

/**
 * The model of members that want one lease, a log whose leader changes, and a resource, with every
 * order of messages: commands, answers and events are delayed, duplicated or repeated, and lost if
 * they never arrive or a later one replaces them; a member is paused between its check and its
 * action, clocks run slow or fast, leaders change, sessions end. {@link LeaseStateMachine}, {@link
 * LeaseHolder}, {@link LeaseExpiryMonitor} and {@link FencingTokenGuard} are the product's own.
 *
 * <p>{@link LeaseModelInvariants} names what must hold. That no two members hold the lease is
 * checked only where clocks keep to their bound.
 */
public final class LeaseModel implements Model {
    private static final ClockDriftBound DRIFT = new ClockDriftBound(250_000);
    private static final LeaseLimits LIMITS = new LeaseLimits(1, 100, 4, 8);
    private static final int LEADER_SESSION = 0;

    private final LeaseModelBounds bounds;
    private final LeaseComponents components;
    private final LeaseTransitions log;

    /**
     * @param removed the safeguard removed; null: none
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
        for (int clocks = 0; clocks < bounds.clocks().size(); clocks++) {
            states.add(LeaseModelState.initial(bounds, clocks).bytes());
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
        checkExpiry(state, invariants);
        completeExpiry(state, invariants);
        changeLeader(state, invariants);
        for (int member = 0; member < bounds.members(); member++) {
            new LeaseModelMemberTransitions(bounds, components, log, invariants, state, member)
                    .report();
        }
    }

    private void tick(LeaseModelState state, LeaseModelInvariants invariants) {
        LeaseModelState next = state.copy();
        String clocks = bounds.clocks().get(state.clocks());
        for (int member = 0; member < bounds.members(); member++) {
            next.member(member)
                    .advanceClock(unitsPerTick(clocks.charAt(member + 1)), bounds.ttlUnits());
        }
        next.advanceLeaderClock(unitsPerTick(clocks.charAt(0)), expiryUnits());
        invariants.transition(LeaseModelAction.TICK, 0, 0, next);
    }

    private static int unitsPerTick(char clock) {
        return switch (clock) {
            case 's' -> 3;
            case 'e' -> 4;
            case 'f' -> 5;
            default -> 0;
        };
    }

    // ---- Leader

    private void checkExpiry(LeaseModelState state, LeaseModelInvariants invariants) {
        LeaseModelState next = state.copy();
        LeaseExpiryMonitor monitor = expiryMonitor(state);
        List<byte[]> expirations = monitor.expiredCommands(NOW);
        store(next, monitor);
        if (!expirations.isEmpty() && !state.hasExpiry()) {
            LeaseCommand.Expire expire =
                    (LeaseCommand.Expire) LeaseCommand.decode(expirations.get(0));
            next.setExpiry(expire.token(), expire.renewals());
        }
        invariants.transition(LeaseModelAction.CHECK_EXPIRY, 0, 0, next);
    }

    private void completeExpiry(LeaseModelState state, LeaseModelInvariants invariants) {
        if (!state.hasExpiry()) {
            return;
        }
        LeaseModelState lost = state.copy();
        lost.setExpiry(0, 0);
        invariants.transition(LeaseModelAction.LOSE_EXPIRY, 0, 0, lost);
        LeaseModelState applied = lost.copy();
        LeaseTransitions.Transition transition =
                log.apply(
                        state.machine(),
                        LEADER_SESSION,
                        LeaseTransitions.EXPIRE,
                        state.expiryToken(),
                        state.expiryRenewals());
        if (invariants.applied(LeaseModelAction.APPLY_EXPIRY, 0, 0, applied, transition)) {
            invariants.transition(LeaseModelAction.APPLY_EXPIRY, 0, 0, applied);
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
        store(next, monitor);
        invariants.transition(LeaseModelAction.CHANGE_LEADER, 0, 0, next);
    }

    private LeaseExpiryMonitor expiryMonitor(LeaseModelState state) {
        return components.createExpiryMonitor(
                log.machine(state.machine()), state.observedGrants(), 0);
    }

    private void store(LeaseModelState next, LeaseExpiryMonitor monitor) {
        next.setObservedGrant(monitor.observedGrants().get(LeaseTransitions.LEASE), expiryUnits());
    }

    private long expiryUnits() {
        return components.drift().longestSpan(bounds.ttlUnits());
    }
}
