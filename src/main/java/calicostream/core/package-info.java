// SPDX-License-Identifier: Apache-2.0
/**
 * The gateway between protocol servers and engine clients: it owns the life cycles of requests and
 * attempts, the endpoint table and the calls into the router. It knows no protocol, no socket and
 * no file, and where to send a query is the decision of {@link calicostream.routing.QueryRouter}.
 * Read {@link calicostream.core.Gateway} first, then {@link calicostream.core.RequestLifecycle}.
 */
package calicostream.core;
