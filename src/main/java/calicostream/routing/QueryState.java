// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.SplittableRandom;

/** Holds a query from its arrival until its answer and the end of its last attempt. */
final class QueryState {
    private final Query request;
    private final QueryClass queryClass;
    private final ClassStatistics statistics;
    private final TableGroup tableGroup;
    private final OrderedKeyQueue keyQueue;
    private final long due;
    private final long deadline;
    private final double expectedWorkMicros;
    private final double jitter;
    private final boolean overQuota;
    private double dispatchValue;
    private int attempts;
    private int pendingProbes;
    private EngineState engine;
    private EngineState lastFailedEngine;
    private EngineState lastErrorEngine;
    private EngineEndpoint firstRunAt;
    private long sentAt;
    private long lastProgressAt;
    private long retryWindowEnd;
    private long probedAt = Timestamps.NEVER_MICROS;
    private boolean cancelled;
    private boolean mayHaveRun;
    private boolean streaming;
    private boolean done;
    private boolean late;
    private boolean erroneous;
    private boolean migrated;

    QueryState(
            long now,
            Query request,
            QueryClass queryClass,
            ClassStatistics statistics,
            TableGroup tableGroup,
            OrderedKeyQueue keyQueue,
            boolean overQuota) {
        this.request = request;
        this.queryClass = queryClass;
        this.statistics = statistics;
        this.tableGroup = tableGroup;
        this.keyQueue = keyQueue;
        this.overQuota = overQuota;
        expectedWorkMicros = statistics.expectedWorkMicros(request);
        jitter = new SplittableRandom(request.id()).nextDouble();
        deadline = now + request.timeLeftUs();
        double stretch =
                queryClass.latencyObjectiveStretch() * expectedWorkMicros / queryClass.threads();
        due = Math.min(deadline, now + queryClass.latencyObjectiveUs() + (long) stretch);
    }

    long id() {
        return request.id();
    }

    Query request() {
        return request;
    }

    /** Returns the query's class; not idempotent for a query with a sticky engine. */
    QueryClass queryClass() {
        return queryClass;
    }

    boolean isIdempotent() {
        return queryClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    ClassStatistics statistics() {
        return statistics;
    }

    TableGroup tableGroup() {
        return tableGroup;
    }

    /** Returns the queue of the query's key, or null if it need not keep an order. */
    OrderedKeyQueue keyQueue() {
        return keyQueue;
    }

    /** Returns when the query has missed its latency objective. */
    long due() {
        return due;
    }

    long deadline() {
        return deadline;
    }

    double expectedWorkMicros() {
        return expectedWorkMicros;
    }

    /** Returns a random number from 0 to 1 that stays the query's own. */
    double jitter() {
        return jitter;
    }

    /** Returns whether its tenant had used up its quota when the query arrived. */
    boolean isOverQuota() {
        return overQuota;
    }

    /** Returns the worth of an answer for the work it takes; see {@link QueryQueue}. */
    double dispatchValue() {
        return dispatchValue;
    }

    void setDispatchValue(double dispatchValue) {
        this.dispatchValue = dispatchValue;
    }

    // Attempts

    /** Takes in that the next attempt starts; the query has no other that runs. */
    void attemptStarted(long now, EngineState on) {
        engine = on;
        sentAt = now;
        lastProgressAt = now;
        cancelled = false;
        attempts++;
    }

    void attemptEnded() {
        engine = null;
    }

    boolean hasAttempt() {
        return engine != null;
    }

    /** Returns whether that attempt runs now. */
    boolean isRunning(int attempt) {
        return engine != null && attempt == attempts - 1;
    }

    /** Returns the engine that runs the query now, or null. */
    EngineState engine() {
        return engine;
    }

    /** Returns how many attempts have started. */
    int attempts() {
        return attempts;
    }

    int lastAttempt() {
        return attempts - 1;
    }

    long sentAt() {
        return sentAt;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** Takes in an attempt that ended without an answer. */
    void attemptFailed(EngineState on, AttemptOutcome outcome) {
        if (outcome.mayHaveRun && !mayHaveRun) {
            retryWindowEnd = sentAt + queryClass.retryWindowUs();
            firstRunAt = on.endpoint();
            mayHaveRun = true;
        }
        lastFailedEngine = on;
    }

    /** Returns whether an attempt that has ended may have run, wholly or in part. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the end of the time in which an idempotency key is known, once it may have run. */
    long retryWindowEnd() {
        return retryWindowEnd;
    }

    /** Returns where the query may have run first, or null. */
    EngineEndpoint firstRunAt() {
        return firstRunAt;
    }

    boolean failedLastOn(EngineState candidate) {
        return lastFailedEngine == candidate;
    }

    /**
     * Takes in an error answer: the second one, from an engine that otherwise answers as the first
     * does, says that the query itself is at fault.
     */
    void recordError(EngineState on) {
        erroneous =
                lastErrorEngine != null
                        && lastErrorEngine != on
                        && lastErrorEngine.ejection().failureScore() + on.ejection().failureScore()
                                == 0;
        lastErrorEngine = on;
    }

    /** Returns the engine that answered with an error last, or null. */
    EngineState lastErrorEngine() {
        return lastErrorEngine;
    }

    /** Returns whether the query itself is the reason of its errors. */
    boolean isErroneous() {
        return erroneous;
    }

    // Progress of the running attempt

    void recordProgress(long now) {
        lastProgressAt = now;
    }

    long lastProgressAt() {
        return lastProgressAt;
    }

    void streamStarted() {
        streaming = true;
    }

    boolean isStreaming() {
        return streaming;
    }

    /** Returns whether the query has been taken off an engine for its slow progress. */
    boolean isMigrated() {
        return migrated;
    }

    void setMigrated() {
        migrated = true;
    }

    // Load probes

    void loadProbesStarted(long now) {
        probedAt = now;
        pendingProbes = 0;
    }

    void awaitLoadProbe() {
        pendingProbes++;
    }

    void loadProbeEnded() {
        pendingProbes--;
    }

    boolean awaitsLoadProbes() {
        return pendingProbes > 0;
    }

    long probedAt() {
        return probedAt;
    }

    // Answer

    /** Returns whether the query has its final answer. */
    boolean isDone() {
        return done;
    }

    void setDone() {
        done = true;
    }

    /** Returns whether the query was found unable to reach its latency objective. */
    boolean isLate() {
        return late;
    }

    /** Lowers the dispatch value of a query that can no longer reach its latency objective. */
    void setLate() {
        late = true;
        dispatchValue *= queryClass.lateWeightFactor();
    }
}
