// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * The events that a gateway reports to the router that decides for it.
 *
 * <p><b>Threading.</b> An instance serves one gateway and is called by one thread at a time.
 * <b>Clock.</b> Each event carries {@code now} in microseconds; it never goes backwards, and its
 * zero has no meaning. The router reads no other clock. <b>Ownership.</b> Records are immutable;
 * the caller must not change a list or an array after passing it. <b>Re-entry.</b> {@link
 * RouterActions} are called from inside an event method and must not call back into the router; the
 * gateway reports their effects as later events.
 *
 * <p>The gateway calls {@link #start}, passes the engines it last knew of as a {@link
 * EndpointUpdate#CACHED} list, and from then on reports each event once, in the order seen.
 */
public interface QueryRouter {

    /** Called once, before any other event. */
    void start(long now);

    /** Reports the engines that changed, or all of them. */
    void endpointsChanged(long now, EndpointUpdate kind, List<EngineEndpoint> engines);

    /**
     * Reports a client's query. Its id is never used again; the router owes it exactly one final
     * answer.
     */
    void queryAccepted(long now, Query query);

    /**
     * Reports that the answer of an attempt is being streamed to the client; it has no deadline any
     * more.
     */
    void streamStarted(long now, long query, int attempt);

    /** Reports progress of an attempt that runs. */
    void progress(long now, QueryProgress progress);

    /** Reports the end of an attempt; once for each {@link RouterActions#startAttempt}. */
    void attemptEnded(long now, AttemptResult result);

    /**
     * Reports that the client has left or has been answered otherwise; nothing more is owed for the
     * query.
     */
    void queryAbandoned(long now, long query);

    /** Reports that a timer of {@link RouterActions#scheduleTimer} is due. */
    void timerFired(long now, long token);

    /**
     * Reports the end of a load probe asked for by {@link RouterActions#probeLoad}.
     *
     * <p>Without such a request, {@link AttemptOutcome#CANCELLED} is a hint: another gateway has
     * probed an engine that this one ejected, and failed. It postpones the next probe, and has no
     * effect on an engine that is not ejected.
     *
     * @param report the load report, or null if none came
     */
    void probeCompleted(long now, long engine, AttemptOutcome outcome, LoadReport report);

    /**
     * Reports that an engine is reinstated and is to be sent a query soon. The operators have put
     * it back, and the endpoint list said just now that it is warming up; or, as a hint for an
     * ejected engine, another gateway has had an answer from it.
     */
    void engineReinstated(long now, long engine);

    /**
     * Reports how many processes are this one gateway for now, each with clients of its own. They
     * share what the rules allow the gateway.
     *
     * @param processes number of processes, at least one
     * @param index number of this process among them, from 0
     */
    void processesChanged(long now, int processes, int index);

    /**
     * Returns the least run time learned for each class, so that another process may start with it.
     *
     * @return microseconds by index of the class as in {@link RouterSettings#classes}, 0 where
     *     nothing is learned
     */
    double[] learnedRunTimes();

    /**
     * Takes over what another process of this gateway has learned, for classes of which this one
     * knows nothing yet.
     *
     * @param runTimes as {@link #learnedRunTimes} returned them there; may be shorter or longer
     */
    void restoreLearnedRunTimes(double[] runTimes);

    /** Returns whether the router has ejected an engine, which then gets probes only. */
    boolean isEjected(long engine);
}
