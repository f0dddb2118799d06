// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the cluster's links over TCP and the loop that a real member runs on: bytes in checked
 * frames, one connection a direction, nothing kept for a peer that does not take it. It does not
 * know what the frames say, nor who votes. Read {@link calicostream.cluster.tcp.TcpTransport}
 * first.
 */
package calicostream.cluster.tcp;
