// SPDX-License-Identifier: Apache-2.0
/**
 * Makes all routing decisions of a gateway: which engine runs a query and when, whether a failed
 * attempt is retried, and which engines are ejected. The package uses no sockets, clocks, files or
 * threads: it receives events with their time through {@link calicostream.routing.QueryRouter} and
 * returns decisions through {@link calicostream.routing.RouterActions}. Start reading at {@link
 * calicostream.routing.AffinityRouter}, which passes each event to the components that decide.
 */
package calicostream.routing;
