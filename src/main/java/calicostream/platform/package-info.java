// SPDX-License-Identifier: Apache-2.0
/**
 * The platform's protocols: JSON-RPC towards clients, RESP towards engines, and server-sent events
 * that tell which engines there are; start-up, hot restart and shutdown of the front end are here,
 * too. The package does not decide which engine runs a request, nor when one is retried or refused:
 * that is the gateway's. Read {@link calicostream.platform.FrontEndServer} first.
 */
package calicostream.platform;
