// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalException;
import calicostream.errors.OperatorDocumentation;

/**
 * The errors of session budgets: each type has a stable code, the facts in its message, and a
 * remedy for the operator. When the grant state machine rejects a command, the response holds the
 * code and the facts; the cluster stores that response with the sender's session, so the facts are
 * replicated data. Only {@link NoCapacity} concerns a client's request, which the front end answers
 * with a message of its own. Instances are immutable and carry no stack trace.
 */
@OperatorDocumentation(value = "budget.md", prefixes = "budget-")
public abstract sealed class BudgetException extends OperationalException {
    private static final long serialVersionUID = 1L;

    private BudgetException(String code, String facts, String remedy) {
        super(new ErrorDetails(code, facts, remedy));
    }

    /** A setting is out of range or contradicts another one; the whole file is rejected. */
    public static final class InvalidSetting extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-bad-setting";

        private final String key;
        private final String reason;

        /** The dotted key of the setting, and what is wrong with it. */
        public InvalidSetting(String key, String reason) {
            super(
                    CODE,
                    key + ": " + reason,
                    "Correct the named key; the fleet keeps its current settings until then.");
            this.key = key;
            this.reason = reason;
        }

        /** The dotted key, as written in the file. */
        public String key() {
            return key;
        }

        /** What is wrong with the setting. */
        public String reason() {
            return reason;
        }
    }

    /** With the allocation, more sessions than the engine's cap could be in use. */
    public static final class OverCap extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-over-cap";

        /** The cap, and the sessions that may be in use without and with the allocation. */
        public OverCap(
                String engine, long incarnation, long cap, long committed, long committedAfter) {
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
                            + committedAfter
                            + " were asked",
                    "No action needed if rare: the grant coordinator allocates again; otherwise"
                            + " report it.");
        }
    }

    /**
     * A lowered cap is not in force yet, because more sessions than it allows may still be in use.
     * No grant is raised at the engine until then.
     */
    public static final class CapLowered extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-cap-lowered";

        /** The cap in force, the requested cap, and the sessions that may be in use. */
        public CapLowered(String engine, long cap, long requestedCap, long committed) {
            super(
                    CODE,
                    "engine "
                            + engine
                            + " goes from cap "
                            + cap
                            + " to "
                            + requestedCap
                            + ", "
                            + committed
                            + " may still be in use",
                    "Wait until the running sessions have ended; check which process does not"
                            + " acknowledge its lowered grant.");
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
                    "Raise the cap, lower the pool's floor, or remove the engine from the pool.");
        }
    }

    /** The allocation is from a coordinator that has lost its lease to another one. */
    public static final class StaleToken extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-old-token";

        /** The fencing token of the allocation, and the largest one seen. */
        public StaleToken(long token, long current) {
            super(
                    CODE,
                    "token " + token + " where " + current + " was seen",
                    "No action needed: the current grant coordinator allocates.");
        }
    }

    /** The engine is unknown, or its current incarnation is another one. */
    public static final class OtherIncarnation extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-other-incarnation";

        /** The incarnation in the command, and the current one; 0 if the engine is unknown. */
        public OtherIncarnation(String engine, long incarnation, long current) {
            super(
                    CODE,
                    "engine "
                            + engine
                            + " incarnation "
                            + incarnation
                            + " where "
                            + (current == 0 ? "none" : String.valueOf(current))
                            + " is known",
                    "No action needed if the engine was replaced; otherwise find the process that"
                            + " still uses the older incarnation.");
        }
    }

    /** The name is not that of a configured tenant or pool, or of a joined process. */
    public static final class UnknownName extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-unknown";

        /** The kind of name (such as pool or tenant), and the name. */
        public UnknownName(String kind, String name) {
            super(
                    CODE,
                    kind + " " + name + " is not known",
                    "Give all processes the same settings; a process joins again by itself.");
        }
    }

    /** The grants of the process have expired, or a newer incarnation of it has joined. */
    public static final class GrantExpired extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-grant-over";

        /** The process, and the cluster session under which it joined. */
        public GrantExpired(String process, long session) {
            super(
                    CODE,
                    "grants of " + process + " under session " + session + " are over",
                    "Find out why no report of the process was applied for a lease time: process"
                            + " stopped, network partition, or no quorum.");
        }
    }

    /** A newer report of the process has already been applied. */
    public static final class StaleReport extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-old-report";

        /** The number of the report, and of the last report that was applied. */
        public StaleReport(String process, long number, long current) {
            super(
                    CODE,
                    process + " report " + number + " after " + current,
                    "No action needed: the newer report is in effect.");
        }
    }

    /** The expiry is not due, or is not from the leader. */
    public static final class ExpiryNotDue extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-not-due";

        /** The session and report in the command, and why the grants do not expire. */
        public ExpiryNotDue(long session, long number, String reason) {
            super(
                    CODE,
                    "session " + session + " report " + number + ": " + reason,
                    "No action needed: the process has renewed in time.");
        }
    }

    /**
     * An engine's session count cannot be used as a bound, because it may have been taken before
     * the grants expired.
     */
    public static final class StaleEngineCount extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-no-proof";

        /** The engine, the process's cluster session, and why the count is not usable. */
        public StaleEngineCount(String engine, long session, String reason) {
            super(
                    CODE,
                    "count at engine " + engine + " for session " + session + ": " + reason,
                    "No action needed: a new count is requested once the lease has expired.");
        }
    }

    /** A request is rejected: its tenant's queue is full, or the expected wait is too long. */
    public static final class NoCapacity extends BudgetException {
        private static final long serialVersionUID = 1L;

        /** The stable code. */
        public static final String CODE = "budget-no-room";

        private final long retryAfterNanos;

        /** The number of queued requests of the tenant, and when to retry. */
        public NoCapacity(String tenant, int queued, long retryAfterNanos) {
            super(
                    CODE,
                    "tenant "
                            + tenant
                            + " has "
                            + queued
                            + " requests queued, retry after "
                            + retryAfterNanos / 1_000_000
                            + " ms",
                    "If this persists, raise the tenant's guarantee or weight, or add engines to"
                            + " the pool.");
            this.retryAfterNanos = retryAfterNanos;
        }

        /**
         * When capacity should be free, estimated from the rate at which the tenant's sessions end.
         */
        public long retryAfterNanos() {
            return retryAfterNanos;
        }
    }
}
