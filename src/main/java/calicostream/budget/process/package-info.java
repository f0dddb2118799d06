// SPDX-License-Identifier: Apache-2.0

/**
 * Enforcement of session budgets in a process: the gate in front of the engine client runs on the
 * front end's loop, the replicated service and the coordinator task run on the member's thread.
 * They exchange immutable messages without blocking. All decisions are made by {@link
 * calicostream.budget}; how requests arrive is unknown here. Start with {@link
 * calicostream.budget.process.BudgetGate}.
 */
package calicostream.budget.process;
