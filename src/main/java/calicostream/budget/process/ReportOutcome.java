// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetCommand;

/** What became of a report. Immutable. */
sealed interface ReportOutcome {
    /** The lease was renewed. */
    record Renewed(BudgetCommand.RenewalReply reply) implements ReportOutcome {}

    /** The report was refused because the grants have expired. */
    record Expired() implements ReportOutcome {}

    /** No response, or another refusal; the grants are as before. */
    record Failed() implements ReportOutcome {}
}
