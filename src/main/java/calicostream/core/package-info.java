// SPDX-License-Identifier: Apache-2.0
/**
 * The gateway between protocol servers and engine clients. It manages the life cycles of requests
 * and attempts, the endpoint table and the calls to the router. It is independent of protocols,
 * sockets and files. {@link calicostream.routing.QueryRouter} selects the engine for each query.
 * Read {@link calicostream.core.Gateway} first, then {@link calicostream.core.RequestLifecycle}.
 */
package calicostream.core;
