// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * Receives the events of a gateway and makes its routing decisions.
 *
 * <p><b>Threading.</b> An instance serves one gateway; calls must not overlap. <b>Clock.</b> Each
 * event carries {@code now} in microseconds, which never decreases and has an arbitrary origin. The
 * router reads no other clock. <b>Ownership.</b> Records are immutable; the caller must not change
 * a list or an array after passing it. <b>Re-entrancy.</b> {@link RouterActions} are called during
 * an event method and must not call back into the router; the gateway reports their effects as
 * later events.
 *
 * <p>The gateway calls {@link #start}, passes the last known engines as a {@link
 * EndpointUpdate#CACHED} list, and then reports each event once, in the order of occurrence.
 */
public interface QueryRouter {

    /** Starts the router; called once, before any other event. */
    void start(long now);

    /** Reports an update of the endpoint list. */
    void endpointsChanged(long now, EndpointUpdate kind, List<EngineEndpoint> engines);

    /**
     * Reports a query of a client. Its id is never reused, and the router must give it exactly one
     * final answer.
     */
    void queryAccepted(long now, Query query);

    /**
     * Reports that the answer of an attempt is being streamed to the client; the query then has no
     * deadline.
     */
    void streamStarted(long now, long query, int attempt);

    /** Reports the progress of a running attempt. */
    void progress(long now, QueryProgress progress);

    /** Reports the end of an attempt; once for each {@link RouterActions#startAttempt}. */
    void attemptEnded(long now, AttemptResult result);

    /**
     * Reports that the client has disconnected or has been answered by other means; the query needs
     * no answer from the router.
     */
    void queryAbandoned(long now, long query);

    /** Reports that a timer set by {@link RouterActions#scheduleTimer} has expired. */
    void timerFired(long now, long token);

    /**
     * Reports the end of a load probe requested by {@link RouterActions#probeLoad}.
     *
     * <p>Without such a request, {@link AttemptOutcome#CANCELLED} is a hint that a probe by another
     * gateway failed on an engine that this gateway ejected. It postpones the next probe and has no
     * effect on an engine that is not ejected.
     *
     * @param report the load report, or null if there was none
     */
    void probeCompleted(long now, long engine, AttemptOutcome outcome, LoadReport report);

    /**
     * Reports that an engine is reinstated and should be sent a query soon. The cause is either a
     * request of an operator, with a preceding endpoint list update that shows the engine as
     * warming up, or a hint that another gateway received an answer from an ejected engine.
     */
    void engineReinstated(long now, long engine);

    /**
     * Reports how many processes currently form this gateway, each with its own clients. They share
     * the limits that the rules set for the gateway.
     *
     * @param processes number of processes, at least one
     * @param index index of this process among them, from 0
     */
    void processesChanged(long now, int processes, int index);

    /**
     * Returns the minimum run time learned for each class, so that another process can start with
     * these values.
     *
     * @return microseconds by index of the class as in {@link RouterSettings#classes}, 0 if unknown
     */
    double[] learnedRunTimes();

    /**
     * Restores run times learned by another process of this gateway, for classes without statistics
     * in this one.
     *
     * @param runTimes result of {@link #learnedRunTimes} in the other process; may have a different
     *     length
     */
    void restoreLearnedRunTimes(double[] runTimes);

    /** Returns whether the router has ejected an engine and sends it only probes. */
    boolean isEjected(long engine);
}
