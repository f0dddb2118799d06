// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.AttemptContext;
import io.grpc.ClientCall;

/** The call to an engine that carries an attempt of a {@link BalancedCall}. */
record OutboundCall(ClientCall<?, ?> call) implements AttemptContext {}
