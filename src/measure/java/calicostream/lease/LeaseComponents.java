// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.prove.Mutant;
import java.util.Map;

/**
 * Creates the production lease classes for model checks and simulations, either complete or with
 * one safeguard removed. The safeguards of the replicated log are removed by the models themselves.
 */
final class LeaseComponents {
    private final Mutant removed;
    private final LeaseLimits limits;
    private final ClockDriftBound drift;

    /**
     * @param removed the safeguard to remove; null for none
     */
    LeaseComponents(Mutant removed, LeaseLimits limits, ClockDriftBound drift) {
        this.removed = removed;
        this.limits = limits;
        this.drift = removed == Mutant.DRIFT_NOT_COUNTED ? new ClockDriftBound(0) : drift;
    }

    boolean isRemoved(Mutant mutant) {
        return removed == mutant;
    }

    ClockDriftBound drift() {
        return drift;
    }

    LeaseStateMachine createMachine(byte[] snapshot) {
        LeaseStateMachine machine =
                new LeaseStateMachine(limits) {
                    @Override
                    public boolean isHolder(String name, long token) {
                        return isRemoved(Mutant.LOG_TOKEN_NOT_CHECKED)
                                || super.isHolder(name, token);
                    }

                    @Override
                    boolean isRenewedSince(long renewals, long observedRenewals) {
                        return !isRemoved(Mutant.EXPIRY_WITHOUT_RENEWALS)
                                && super.isRenewedSince(renewals, observedRenewals);
                    }

                    @Override
                    boolean endsGrantsWithSession() {
                        return isRemoved(Mutant.LEASE_FREED_WITH_SESSION);
                    }

                    @Override
                    public byte[] snapshot() {
                        return isRemoved(Mutant.TOKEN_LOST_IN_SNAPSHOT) && heldLeases().isEmpty()
                                ? new LeaseStateMachine(limits).snapshot()
                                : super.snapshot();
                    }
                };
        if (snapshot != null) {
            machine.restore(snapshot);
        }
        return machine;
    }

    LeaseHolder createHolder(String name, long ttl, LeaseHolderState state) {
        return new LeaseHolder(name, ttl, drift, state) {
            @Override
            long validityStart(long requestedTime, long answeredTime) {
                return isRemoved(Mutant.EXPIRY_FROM_ANSWER_TIME)
                        ? answeredTime
                        : super.validityStart(requestedTime, answeredTime);
            }

            @Override
            void onQueuedGrant(long now, long token) {
                super.onQueuedGrant(now, token);
                if (isRemoved(Mutant.QUEUE_GRANT_NOT_CONFIRMED) && phase() == Phase.CONFIRMING) {
                    // Handles the event as if it were the answer to the renewal.
                    Request request = nextRequest(now);
                    onAnswer(now, request.number(), new LeaseAnswer.Held(token));
                }
            }
        };
    }

    /**
     * @param periodNanos interval between two checks; 0 if checks are not periodic and the clock
     *     does not jump
     */
    LeaseExpiryMonitor createExpiryMonitor(
            LeaseStateMachine machine,
            Map<String, LeaseExpiryMonitor.ObservedGrant> observedGrants,
            long periodNanos) {
        return new LeaseExpiryMonitor(
                machine,
                drift,
                observedGrants,
                isRemoved(Mutant.CLOCK_STEP_COUNTED) ? 0 : periodNanos) {
            @Override
            long inheritedObservedAt(long now, long ttl) {
                return isRemoved(Mutant.NEW_LEADER_DOES_NOT_WAIT)
                        ? now - drift.maxLocalNanos(ttl)
                        : super.inheritedObservedAt(now, ttl);
            }
        };
    }

    FencingTokenGuard createTokenGuard(String name, long highest) {
        FencingTokenGuard guard =
                new FencingTokenGuard() {
                    @Override
                    boolean isOutdated(long token, long highestToken) {
                        return !isRemoved(Mutant.TOKEN_NOT_CHECKED)
                                && super.isOutdated(token, highestToken);
                    }
                };
        guard.admit(name, highest);
        return guard;
    }
}
