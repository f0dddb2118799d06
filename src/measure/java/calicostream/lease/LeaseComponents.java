// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.prove.Mutant;
import java.util.Map;

/**
 * Makes the product's own classes for the proofs, whole or with one safeguard taken out; a
 * safeguard of the log is the model's.
 */
final class LeaseComponents {
    private final Mutant removed;
    private final LeaseLimits limits;
    private final ClockDriftBound drift;

    /**
     * @param without the safeguard taken out; null: none
     */
    LeaseComponents(Mutant without, LeaseLimits limits, ClockDriftBound drift) {
        this.removed = without;
        this.limits = limits;
        this.drift = without == Mutant.DRIFT_NOT_COUNTED ? new ClockDriftBound(0) : drift;
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
                    boolean renewedSince(long renewals, long seen) {
                        return !isRemoved(Mutant.EXPIRY_WITHOUT_RENEWALS)
                                && super.renewedSince(renewals, seen);
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
            long validityStart(long asked, long now) {
                return isRemoved(Mutant.EXPIRY_FROM_ANSWER_TIME)
                        ? now
                        : super.validityStart(asked, now);
            }

            @Override
            void onQueuedGrant(long now, long of) {
                super.onQueuedGrant(now, of);
                if (isRemoved(Mutant.QUEUE_GRANT_NOT_CONFIRMED) && phase() == Phase.CONFIRMING) {
                    Request ask =
                            nextRequest(now); // As if the news itself were the renewal's answer.
                    onAnswer(now, ask.number(), new LeaseAnswer.Held(of));
                }
            }
        };
    }

    /**
     * @param period between two looks; 0: it looks whenever it likes, and no step of its clock is
     *     to be counted
     */
    LeaseExpiryMonitor createExpiryMonitor(
            LeaseStateMachine machine,
            Map<String, LeaseExpiryMonitor.ObservedGrant> seen,
            long period) {
        return new LeaseExpiryMonitor(
                machine, drift, seen, isRemoved(Mutant.CLOCK_STEP_COUNTED) ? 0 : period) {
            @Override
            long inheritedSince(long now, long ttl) {
                return isRemoved(Mutant.NEW_LEADER_DOES_NOT_WAIT)
                        ? now - drift.longestSpan(ttl)
                        : super.inheritedSince(now, ttl);
            }
        };
    }

    FencingTokenGuard createTokenGuard(String name, long highest) {
        FencingTokenGuard fence =
                new FencingTokenGuard() {
                    @Override
                    boolean isOutdated(long token, long most) {
                        return !isRemoved(Mutant.TOKEN_NOT_CHECKED)
                                && super.isOutdated(token, most);
                    }
                };
        fence.admit(name, highest);
        return fence;
    }
}
