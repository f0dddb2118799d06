// SPDX-License-Identifier: Apache-2.0
/**
 * Owns what gRPC engines have in common: a channel to each engine, the meaning of statuses, headers
 * and trailers, and a client-side channel that balances the calls of its own process. It makes no
 * routing decision and does not know Flight SQL. Read {@link calicostream.grpc.EngineChannels}
 * first, then {@link calicostream.grpc.BalancingChannel}.
 */
package calicostream.grpc;
