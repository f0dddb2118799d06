// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.prove.Mutant;
import java.util.Map;

/**
 * Makes the product's own classes for the proofs, whole or with one safeguard taken out; a
 * safeguard of the log is the model's.
 */
final class Parts {
    private final Mutant without;
    private final Limits limits;
    private final Drift drift;

    /**
     * @param without the safeguard taken out; null: none
     */
    Parts(Mutant without, Limits limits, Drift drift) {
        this.without = without;
        this.limits = limits;
        this.drift = without == Mutant.DRIFT_NOT_COUNTED ? new Drift(0) : drift;
    }

    boolean isOut(Mutant mutant) {
        return without == mutant;
    }

    Drift drift() {
        return drift;
    }

    LeaseMachine machine(byte[] snapshot) {
        LeaseMachine machine =
                new LeaseMachine(limits) {
                    @Override
                    public boolean isHolder(String name, long token) {
                        return isOut(Mutant.LOG_TOKEN_NOT_CHECKED) || super.isHolder(name, token);
                    }

                    @Override
                    boolean renewedSince(long renewals, long seen) {
                        return !isOut(Mutant.EXPIRY_WITHOUT_RENEWALS)
                                && super.renewedSince(renewals, seen);
                    }

                    @Override
                    boolean endsWithSession() {
                        return isOut(Mutant.LEASE_FREED_WITH_SESSION);
                    }

                    @Override
                    public byte[] snapshot() {
                        return isOut(Mutant.TOKEN_LOST_IN_SNAPSHOT) && held().isEmpty()
                                ? new LeaseMachine(limits).snapshot()
                                : super.snapshot();
                    }
                };
        if (snapshot != null) {
            machine.restore(snapshot);
        }
        return machine;
    }

    Holder holder(String name, long ttl, Holder.State state) {
        return new Holder(name, ttl, drift, state) {
            @Override
            long countedFrom(long asked, long now) {
                return isOut(Mutant.EXPIRY_FROM_ANSWER_TIME) ? now : super.countedFrom(asked, now);
            }

            @Override
            void grantedFromQueue(long now, long of) {
                super.grantedFromQueue(now, of);
                if (isOut(Mutant.QUEUE_GRANT_NOT_CONFIRMED) && phase() == Phase.CONFIRMING) {
                    Ask ask = next(now); // As if the news itself were the renewal's answer.
                    answered(now, ask.number(), new LeaseAnswer.Holds(of));
                }
            }
        };
    }

    /**
     * @param period between two looks; 0: it looks whenever it likes, and no step of its clock is
     *     to be counted
     */
    LeaderWatch watch(LeaseMachine machine, Map<String, LeaderWatch.Seen> seen, long period) {
        return new LeaderWatch(
                machine, drift, seen, isOut(Mutant.CLOCK_STEP_COUNTED) ? 0 : period) {
            @Override
            long inherited(long now, long ttl) {
                return isOut(Mutant.NEW_LEADER_DOES_NOT_WAIT)
                        ? now - drift.beyond(ttl)
                        : super.inherited(now, ttl);
            }
        };
    }

    Fence fence(String name, long highest) {
        Fence fence =
                new Fence() {
                    @Override
                    boolean isOutdated(long token, long most) {
                        return !isOut(Mutant.TOKEN_NOT_CHECKED) && super.isOutdated(token, most);
                    }
                };
        fence.admit(name, highest);
        return fence;
    }
}
