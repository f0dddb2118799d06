// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the session budgets of tenants: the sessions that each process of a fleet may use at each
 * engine, allocated fairly, leased, and checked against the engine's cap where commands are
 * applied; every class here decides without clock, I/O or threads. It does not know how requests
 * arrive, which engine a request goes to, how commands are replicated, nor how the coordinator is
 * elected. Read {@link calicostream.budget.GrantStateMachine} first, then {@link
 * calicostream.budget.GrantedSessions}, which the request path asks.
 */
package calicostream.budget;
