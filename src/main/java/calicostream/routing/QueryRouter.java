// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * What a query gateway tells its decision module, and what the module asks of the gateway.
 *
 * <p><b>Threading.</b> One instance serves one gateway and is called by one thread at a time.
 * <b>Clock.</b> Every event carries {@code now} in microseconds; it never goes backwards and its
 * zero means nothing. The module reads no other clock. <b>Ownership.</b> Records are immutable; the
 * caller must not change a list or array after passing it. <b>Re-entry.</b> Actions are called from
 * inside an event method and must not call back into the module; report what they bring about as
 * later events.
 *
 * <p>The caller starts the instance with {@link #start}, passes the engines it last knew of as a
 * {@link EndpointUpdate#CACHED} roster, and from then on reports each event once, in the order
 * seen.
 */
public interface QueryRouter {

    /** Called once, before any other event. */
    void start(long now);

    /**
     * The engines changed. After {@code CHANGES} engines not named stay; otherwise they have been
     * removed.
     */
    void endpointsChanged(long now, EndpointUpdate kind, List<EngineEndpoint> engines);

    /**
     * A client's query was accepted. Its id is never used again; the module owes exactly one final
     * answer.
     */
    void queryAccepted(long now, Query query);

    /** A streamed answer began: the attempt belongs to the client and has no deadline any more. */
    void streamStarted(long now, long query, int attempt);

    /** News of an attempt that still runs. */
    void progress(long now, QueryProgress progress);

    /** An attempt ended; exactly one for each {@link RouterActions#startAttempt}. */
    void attemptEnded(long now, AttemptResult end);

    /** The client left, or was answered otherwise; nothing more is owed for the query. */
    void queryAbandoned(long now, long query);

    /** A timer asked for with {@link RouterActions#scheduleTimer} is due. */
    void timerFired(long now, long token);

    /**
     * A probe asked for with {@link RouterActions#probeLoad} ended; {@code report} is null when
     * none came. Unasked, with {@link FencedResult#CANCELLED}, it is a hint: another gateway tries
     * an engine that this one leaves out, in vain so far. The next trial is put off; where the
     * module leaves the engine not out, nothing comes of it.
     */
    void probeCompleted(long now, long engine, AttemptOutcome outcome, LoadReport report);

    /**
     * The operators have put an engine back, as the roster told just now: it is cold, and owed a
     * query soon. Of an engine that the module leaves out it may also be a hint: another gateway
     * has had an answer from it.
     */
    void engineReinstated(long now, long engine);

    /**
     * For now so many processes are this one gateway, each with clients of its own; this one has
     * this place among them, from 0. What the rules allow the gateway, they share.
     */
    void processesChanged(long now, int processes, int place);

    /**
     * What it has learned of each class's work, in microseconds, 0 where nothing; another process
     * may start with it.
     */
    double[] learnedRunTimes();

    /**
     * What another process of this gateway has learned, for classes of which this one knows nothing
     * yet.
     */
    void learnedRunTimes(double[] before);

    /** Whether the module leaves this engine out by its own choice, but for trials. */
    boolean isEjected(long engine);
}
