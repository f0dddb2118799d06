// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the enforcement of session budgets in a process: the gate in front of the engine client, on
 * the front end's loop, and the replicated service with the coordinator's task, on the member's
 * thread; they pass each other immutable messages and never wait. It makes no decision that {@link
 * calicostream.budget} does not make, and does not know how requests arrive. Read {@link
 * calicostream.budget.process.BudgetGate} first.
 */
package calicostream.budget.process;
