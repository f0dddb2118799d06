// SPDX-License-Identifier: Apache-2.0

/**
 * Owns session budgets as a part of a process: the gate before the engine side, on the front end's
 * loop, and the layer of the member with the arbiter's task, on the member's thread; they hand each
 * other immutable words and never wait. It decides nothing that {@link calicostream.budget} does
 * not, and does not know how requests arrive. Read {@link calicostream.budget.process.BudgetGate}
 * first.
 */
package calicostream.budget.process;
