// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Handles the result of an attempt: closes the query, starts or queues another attempt, or sends
 * the final answer.
 */
final class AttemptResultHandler {
    private final QueryLifecycle lifecycle;
    private final AttemptStarter starter;
    private final OrderedKeyQueues keyQueues;
    private final EngineFeedback feedback;
    private final RetryPolicy retryPolicy;
    private final QueryDispatcher dispatcher;

    AttemptResultHandler(
            QueryLifecycle lifecycle,
            AttemptStarter starter,
            OrderedKeyQueues keyQueues,
            EngineFeedback feedback,
            RetryPolicy retryPolicy,
            QueryDispatcher dispatcher) {
        this.lifecycle = lifecycle;
        this.starter = starter;
        this.keyQueues = keyQueues;
        this.feedback = feedback;
        this.retryPolicy = retryPolicy;
        this.dispatcher = dispatcher;
    }

    /** Handles the end of the query's running attempt. */
    void attemptEnded(long now, QueryState query, AttemptResult result) {
        EngineState engine = starter.end(query);
        keyQueues.attemptEnded(now, query, result.outcome());
        feedback.recordResult(now, query, engine, result);
        boolean answered = result.requestAnswered() || result.outcome() == AttemptOutcome.OK;
        if (answered || query.isClosed()) {
            lifecycle.close(query);
        } else {
            retryOrFinish(now, query, engine, result.outcome());
        }
    }

    private void retryOrFinish(
            long now, QueryState query, EngineState engine, AttemptOutcome outcome) {
        query.attemptFailed(engine, outcome);
        if (retryPolicy.mayRetry(now, query, outcome)) {
            dispatcher.dispatchOrQueue(now, query);
        } else {
            lifecycle.finish(query, now < query.due() && !query.isErroneous());
        }
    }
}
