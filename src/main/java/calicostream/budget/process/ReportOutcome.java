// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetCommand;

/** The outcome of a report. Immutable. */
sealed interface ReportOutcome {
    /** The lease was renewed. */
    record Renewed(BudgetCommand.RenewalReply reply) implements ReportOutcome {}

    /** The report was rejected because the grants have expired. */
    record Expired() implements ReportOutcome {}

    /** There was no response, or another rejection; the grants are unchanged. */
    record Failed() implements ReportOutcome {}
}
