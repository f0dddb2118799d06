// SPDX-License-Identifier: Apache-2.0

/**
 * Session budgets of tenants: the sessions that each process of a fleet may use at each engine.
 * Grants are allocated fairly, leased, and checked against the engine's cap when a command is
 * applied. No class here reads a clock, does I/O or starts threads. This package does not know how
 * requests arrive, how an engine is selected, how commands are replicated, or how the coordinator
 * is elected. Start with {@link calicostream.budget.GrantStateMachine}, then read {@link
 * calicostream.budget.GrantedSessions}, which the request path calls.
 */
package calicostream.budget;
