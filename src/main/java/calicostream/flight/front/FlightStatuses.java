// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.FailureReason;
import calicostream.flight.state.Transactions;
import io.grpc.Status;

/** The statuses that clients hear. What they mean is in {@code docs/operate/flight-sql.md}. */
final class FlightStatuses {
    static final Status UNKNOWN_HANDLE =
            Status.NOT_FOUND.withDescription(
                    "no such handle: closed, used, too old, or of another process; ask for a new"
                            + " one");
    static final Status NO_TOKEN = Status.UNAUTHENTICATED.withDescription("log in for a token");
    static final Status TIMED_OUT =
            Status.DEADLINE_EXCEEDED.withDescription("not answered in time");
    static final Status CANCELLED_BY_CLIENT =
            Status.CANCELLED.withDescription("cancelled by its client");
    static final Status SESSION_CLOSED =
            Status.CANCELLED.withDescription("the last session of its user was closed");
    static final Status TOO_MANY_OPEN =
            Status.CANCELLED.withDescription("its client has too many open");

    private FlightStatuses() {}

    static Status refusal(long stayAwayMs) {
        return Status.UNAVAILABLE.withDescription("refused; stay away for " + stayAwayMs + " ms");
    }

    static Status failure(FailureReason why) {
        switch (why) {
            case DEADLINE:
                return TIMED_OUT;
            case STREAM_BROKEN:
                return Status.INTERNAL.withDescription(
                        "the result broke off; what came of it is not whole");
            default:
                return Status.INTERNAL.withDescription("failed; it may have run");
        }
    }

    static Status invalid(String why) {
        return Status.INVALID_ARGUMENT.withDescription(why);
    }

    static Status unsupported(String what) {
        return Status.UNIMPLEMENTED.withDescription(what);
    }

    /** Why something can't be done in a transaction; null: it can. */
    static Status transaction(Transactions.UseDecision answer, Transactions.Transaction<?> txn) {
        switch (answer) {
            case GRANTED:
                return null;
            case UNKNOWN:
                return Status.NOT_FOUND.withDescription(
                        "no such transaction: it is dead or ended; begin anew");
            case IN_USE:
                return Status.FAILED_PRECONDITION.withDescription(
                        "the transaction is in use by another call");
            case DRAINING:
                return Status.FAILED_PRECONDITION.withDescription(
                        "the transaction's engine drains: commit or roll back at once");
            case OUTCOME_UNKNOWN:
                return Status.UNKNOWN.withDescription(
                        "outcome unknown: "
                                + txn.endReason()
                                + "; it is committed or not, and is not sent again");
            default:
                return Status.ABORTED.withDescription(
                        "the transaction is dead: " + txn.endReason() + "; begin anew");
        }
    }
}
