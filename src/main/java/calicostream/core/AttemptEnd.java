// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;

/**
 * The outcome of an ended attempt, queued until the router is notified of it.
 *
 * @param report the engine's load report, or null
 * @param result the complete result, or null
 * @param status the final status of the request if it is answered without a result, or null
 */
record AttemptEnd(
        Attempt attempt,
        AttemptOutcome outcome,
        LoadReport report,
        RequestResult result,
        FinalStatus status) {}
