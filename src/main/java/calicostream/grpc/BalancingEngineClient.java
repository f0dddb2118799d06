// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Attempt;
import java.util.Map;

/**
 * The engine client of a {@link BalancingChannel}: sends a call's messages to the chosen engine.
 */
final class BalancingEngineClient extends GrpcEngineClient {
    private final Map<String, BalancedCall<?, ?>> openCalls;

    BalancingEngineClient(EngineChannels channels, Map<String, BalancedCall<?, ?>> openCalls) {
        super(channels);
        this.openCalls = openCalls;
    }

    @Override
    public void send(Attempt attempt) {
        BalancedCall<?, ?> call = openCalls.get(attempt.request().id());
        channels().start(attempt, channel -> call.startAttempt(attempt, channel));
    }

    @Override
    protected void cancelSent(Attempt attempt) {
        if (attempt.context() instanceof OutboundCall outbound) {
            outbound.call().cancel("given up", null);
        }
    }
}
