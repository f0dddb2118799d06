// SPDX-License-Identifier: Apache-2.0
/**
 * Owns every decision of a gateway about its queries: which engine runs a query and when, whether a
 * failed attempt is retried, and which engines are ejected. It knows no sockets, clocks, files or
 * threads; events and the time come in through {@link calicostream.routing.QueryRouter}, decisions
 * go out through {@link calicostream.routing.RouterActions}. Read {@link
 * calicostream.routing.AffinityRouter} first, which dispatches each event to the parts that decide.
 */
package calicostream.routing;
