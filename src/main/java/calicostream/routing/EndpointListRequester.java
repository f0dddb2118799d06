// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Requests the endpoint list and retries after a failure, if the deployment sends the list only on
 * request.
 */
final class EndpointListRequester {
    private static final long RETRY_DELAY_MICROS = 1_000_000;
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;

    private final RouterActions actions;
    private final boolean isOnRequest;
    private long nextRequestAt = NOT_SCHEDULED;

    EndpointListRequester(RouterActions actions, boolean isOnRequest) {
        this.actions = actions;
        this.isOnRequest = isOnRequest;
    }

    void start() {
        if (isOnRequest) {
            actions.watchEndpoints();
        }
    }

    void requestFailed(long now) {
        nextRequestAt = now + RETRY_DELAY_MICROS;
    }

    void tick(long now) {
        if (isOnRequest && now >= nextRequestAt) {
            nextRequestAt = NOT_SCHEDULED;
            actions.watchEndpoints();
        }
    }
}
