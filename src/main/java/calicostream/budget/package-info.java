// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the session budgets of tenants: what each process of a fleet may run at each engine, divided
 * fairly, leased, and checked against the engine's cap where commands are applied; every class here
 * is a decision without clock, I/O or threads. It does not know how a request's tenant is found,
 * which engine a request goes to, how commands are carried, nor who may be arbiter. Read {@link
 * calicostream.budget.GrantMachine} first, then {@link calicostream.budget.GrantedSessions}, which
 * the request path asks.
 */
package calicostream.budget;
