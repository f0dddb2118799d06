// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.errors.ErrorDetails;
import calicostream.errors.OperationalException;
import calicostream.errors.OperatorDocumentation;

/**
 * What can go wrong with budgets, as one sealed family: each type has a stable code, the facts in
 * its message, and what an operator can do. The grant machine answers with code and facts where a
 * command is refused; only {@link NoRoom} concerns a request, and its front end words it. Instances
 * are immutable and carry no stack trace.
 */
@OperatorDocumentation(value = "budget.md", prefixes = "budget-")
public abstract sealed class BudgetException extends OperationalException {
    private static final long serialVersionUID = 1L;

    private BudgetException(String code, String facts, String remedy) {
        super(new ErrorDetails(code, facts, remedy));
    }

    /** A setting that can't be kept; nothing of the file is used. */
    public static final class BadSetting extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-bad-setting";
        private final String key;
        private final String why;

        public BadSetting(String key, String why) {
            super(
                    CODE,
                    key + ": " + why,
                    "Correct the key that is named; the fleet goes on with the settings it has.");
            this.key = key;
            this.why = why;
        }

        /** Dotted, as in the file. */
        public String key() {
            return key;
        }

        /** What is wrong with it. */
        public String why() {
            return why;
        }
    }

    /** The division would let more sessions be in use at an engine than its cap. */
    public static final class OverCap extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-over-cap";

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
     * A cap was lowered and is not in force yet: more than the new one may still be in use, so
     * nothing new is granted there.
     */
    public static final class CapLowered extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-cap-lowered";

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

    /** The floors that are set aside alone pass the cap of an engine. */
    public static final class FloorsOverCap extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-floors-over-cap";

        public FloorsOverCap(String engine, long cap, long floors) {
            super(
                    CODE,
                    "engine " + engine + " has cap " + cap + ", the floors take " + floors,
                    "Raise the cap, lower the pool's floor, or take the engine out of the pool.");
        }
    }

    /** A division by an arbiter that has been replaced. */
    public static final class OldToken extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-old-token";

        public OldToken(long token, long present) {
            super(
                    CODE,
                    "token " + token + " where " + present + " was seen",
                    "Nothing: the present arbiter divides.");
        }
    }

    /** The engine is not known, or another incarnation of it is. */
    public static final class OtherIncarnation extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-other-incarnation";

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
    public static final class Unknown extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-unknown";

        public Unknown(String kind, String name) {
            super(
                    CODE,
                    kind + " " + name + " is not known",
                    "Give all processes the same settings; a process joins anew by itself.");
        }
    }

    /** What was granted to the process has expired, or a newer start of it has joined. */
    public static final class GrantOver extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-grant-over";

        public GrantOver(String process, long session) {
            super(
                    CODE,
                    "grants of " + process + " under session " + session + " are over",
                    "See why the process was not heard for a lease: stopped, cut off, or no"
                            + " quorum.");
        }
    }

    /** A report that is older than one that was applied. */
    public static final class OldReport extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-old-report";

        public OldReport(String process, long number, long present) {
            super(
                    CODE,
                    process + " report " + number + " after " + present,
                    "Nothing: the newer report counts.");
        }
    }

    /** An expiry that is not, or no longer, due, or that was not counted by the leader. */
    public static final class NotDue extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-not-due";

        public NotDue(long session, long number, String why) {
            super(
                    CODE,
                    "session " + session + " report " + number + ": " + why,
                    "Nothing: the process has renewed in time.");
        }
    }

    /**
     * An engine's count of sessions that proves nothing, since it may be older than the end of the
     * grants.
     */
    public static final class NoProof extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-no-proof";

        public NoProof(String engine, long session, String why) {
            super(
                    CODE,
                    "count at engine " + engine + " for session " + session + ": " + why,
                    "Nothing: the engine is asked again after the end of the lease.");
        }
    }

    /** A request that is not taken: its tenant's queue is full or longer than its patience. */
    public static final class NoRoom extends BudgetException {
        private static final long serialVersionUID = 1L;
        public static final String CODE = "budget-no-room";
        private final long returnAfterNanos;

        public NoRoom(String tenant, int waiting, long returnAfterNanos) {
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
            this.returnAfterNanos = returnAfterNanos;
        }

        /** When a place should be free, from the rate at which the tenant's sessions end. */
        public long returnAfterNanos() {
            return returnAfterNanos;
        }
    }
}
