// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalException;
import calicostream.errors.OperatorDocumentation;

/**
 * The errors of session budgets, as one sealed family: each type has a stable code, the facts in
 * its message, and a remedy for the operator. The grant state machine responds with code and facts
 * where it refuses a command; only {@link NoCapacity} concerns a request, for which the front end
 * has its own wording. Instances are immutable and carry no stack trace.
 */
@OperatorDocumentation(value = "budget.md", prefixes = "budget-")
public abstract sealed class BudgetException extends OperationalException {
    private static final long serialVersionUID = 1L;

    private BudgetException(String code, String facts, String remedy) {
        super(new ErrorDetails(code, facts, remedy));
    }

    /** A setting that is out of range or contradicts another one; nothing of the file is used. */
    public static final class InvalidSetting extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-bad-setting";

        private final String key;
        private final String reason;

        /** Names the setting by its dotted key. */
        public InvalidSetting(String key, String why) {
            super(
                    CODE,
                    key + ": " + why,
                    "Correct the key that is named; the fleet goes on with the settings it has.");
            this.key = key;
            this.reason = why;
        }

        /** The dotted key, as in the file. */
        public String key() {
            return key;
        }

        /** What is wrong with the setting. */
        public String reason() {
            return reason;
        }
    }

    /** An allocation would let more sessions be in use at an engine than its cap. */
    public static final class OverCap extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-over-cap";

        /** Sessions that may be in use now, and with the allocation. */
        public OverCap(String engine, long incarnation, long cap, long committed, long asked) {
            super(
                    CODE,
                    "engine "
                            + engine
                            + " incarnation "
                            + incarnation
                            + " has cap "
                            + cap
                            + ", "
                            + committed
                            + " may be in use, "
                            + asked
                            + " were asked",
                    "Nothing if rare: the arbiter divides again; else report it.");
        }
    }

    /**
     * A lowered cap is not in force yet: more sessions than it allows may still be in use, so no
     * grant is raised there.
     */
    public static final class CapLowered extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-cap-lowered";

        /** The caps in force and requested, and the sessions that may be in use. */
        public CapLowered(String engine, long cap, long target, long committed) {
            super(
                    CODE,
                    "engine "
                            + engine
                            + " goes from cap "
                            + cap
                            + " to "
                            + target
                            + ", "
                            + committed
                            + " may still be in use",
                    "Wait until what runs has ended; see which process does not answer the"
                            + " call-back.");
        }
    }

    /** The floors of all processes exceed the cap of an engine. */
    public static final class FloorsOverCap extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-floors-over-cap";

        /** The cap, and the sum of the floors. */
        public FloorsOverCap(String engine, long cap, long floors) {
            super(
                    CODE,
                    "engine " + engine + " has cap " + cap + ", the floors take " + floors,
                    "Raise the cap, lower the pool's floor, or take the engine out of the pool.");
        }
    }

    /** An allocation by a coordinator that has been replaced. */
    public static final class StaleToken extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-old-token";

        /** The token of the allocation, and the latest one. */
        public StaleToken(long token, long present) {
            super(
                    CODE,
                    "token " + token + " where " + present + " was seen",
                    "Nothing: the present arbiter divides.");
        }
    }

    /** The engine is not known, or another incarnation of it is. */
    public static final class OtherIncarnation extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-other-incarnation";

        /** The incarnation that was named, and the present one; 0 if there is none. */
        public OtherIncarnation(String engine, long incarnation, long present) {
            super(
                    CODE,
                    "engine "
                            + engine
                            + " incarnation "
                            + incarnation
                            + " where "
                            + (present == 0 ? "none" : String.valueOf(present))
                            + " is known",
                    "Nothing if an engine was replaced; else see who"
                            + " still has the older one.");
        }
    }

    /** A process, tenant or pool that the settings or the members do not have. */
    public static final class UnknownName extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-unknown";

        /** What kind of thing is not known, and its name. */
        public UnknownName(String kind, String name) {
            super(
                    CODE,
                    kind + " " + name + " is not known",
                    "Give all processes the same settings; a process joins anew by itself.");
        }
    }

    /** What was granted to the process has expired, or a newer incarnation of it has joined. */
    public static final class GrantExpired extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-grant-over";

        /** The process, and the session that it joined under. */
        public GrantExpired(String process, long session) {
            super(
                    CODE,
                    "grants of " + process + " under session " + session + " are over",
                    "See why the process was not heard for a lease: stopped, cut off, or no"
                            + " quorum.");
        }
    }

    /** A report that is older than one that was applied. */
    public static final class StaleReport extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-old-report";

        /** The number of the report, and of the last one applied. */
        public StaleReport(String process, long number, long present) {
            super(
                    CODE,
                    process + " report " + number + " after " + present,
                    "Nothing: the newer report counts.");
        }
    }

    /** An expiry that is not, or no longer, due, or that was not counted by the leader. */
    public static final class ExpiryNotDue extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-not-due";

        /** The session and report that were to expire, and the reason why they did not. */
        public ExpiryNotDue(long session, long number, String why) {
            super(
                    CODE,
                    "session " + session + " report " + number + ": " + why,
                    "Nothing: the process has renewed in time.");
        }
    }

    /**
     * An engine's count of sessions that proves nothing, since it may be older than the expiry of
     * the grants.
     */
    public static final class StaleEngineCount extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-no-proof";

        /** The engine, the session of the process, and the reason. */
        public StaleEngineCount(String engine, long session, String why) {
            super(
                    CODE,
                    "count at engine " + engine + " for session " + session + ": " + why,
                    "Nothing: the engine is asked again after the end of the lease.");
        }
    }

    /** A request that is rejected: its tenant's queue is full or longer than its patience. */
    public static final class NoCapacity extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-no-room";

        private final long retryAfterNanos;

        /** The requests that are queued, and when to retry. */
        public NoCapacity(String tenant, int waiting, long returnAfterNanos) {
            super(
                    CODE,
                    "tenant "
                            + tenant
                            + " has "
                            + waiting
                            + " waiting, return after "
                            + returnAfterNanos / 1_000_000
                            + " ms",
                    "Raise the tenant's guarantee or weight if this lasts, or add engines to the"
                            + " pool.");
            this.retryAfterNanos = returnAfterNanos;
        }

        /**
         * After which capacity should be free, from the rate at which the tenant's sessions end.
         */
        public long retryAfterNanos() {
            return retryAfterNanos;
        }
    }
}
