// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the transport of a real member over TCP and the event loop that it runs on: checksummed
 * frames, one connection for each direction, frames dropped rather than queued without bound. It
 * does not know what the frames contain, nor which members vote. Read {@link
 * calicostream.cluster.tcp.TcpTransport} first.
 */
package calicostream.cluster.tcp;
