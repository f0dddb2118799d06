// SPDX-License-Identifier: Apache-2.0
/**
 * The platform's protocols: JSON-RPC for clients, RESP for engines, and server-sent events for the
 * endpoint list. Also start-up, hot restart and shutdown of the front end. The gateway, not this
 * package, decides which engine runs a request, and whether it is retried or rejected. Start
 * reading at {@link calicostream.platform.FrontEndServer}.
 */
package calicostream.platform;
