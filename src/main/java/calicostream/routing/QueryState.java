// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.SplittableRandom;

/**
 * Holds the state of a query from its arrival until it is answered and its last attempt has ended.
 */
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
    private EngineEndpoint firstRunEndpoint;
    private long sentAt;
    private long lastProgressAt;
    private long retryWindowEnd;
    private long probedAt = Timestamps.NEVER_MICROS;
    private boolean cancelled;
    private boolean mayHaveRun;
    private boolean streaming;
    private boolean closed;
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

    /** Returns the class of the query; non-idempotent for a query with a sticky engine. */
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

    /** Returns the queue of the query's ordered key, or null if it has none. */
    OrderedKeyQueue keyQueue() {
        return keyQueue;
    }

    /** Returns the time at which the query misses its latency objective. */
    long due() {
        return due;
    }

    long deadline() {
        return deadline;
    }

    double expectedWorkMicros() {
        return expectedWorkMicros;
    }

    /** Returns a random number from 0 to 1 that is fixed for the query. */
    double jitter() {
        return jitter;
    }

    /** Returns whether the tenant had used up its quota when the query arrived. */
    boolean isOverQuota() {
        return overQuota;
    }

    /** Returns the value of an answer per unit of work; see {@link QueryQueue}. */
    double dispatchValue() {
        return dispatchValue;
    }

    void setDispatchValue(double dispatchValue) {
        this.dispatchValue = dispatchValue;
    }

    // Attempts

    /** Records the start of the next attempt; no other attempt of the query may be running. */
    void attemptStarted(long now, EngineState targetEngine) {
        engine = targetEngine;
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

    /** Returns whether the given attempt is running. */
    boolean isRunning(int attempt) {
        return engine != null && attempt == attempts - 1;
    }

    /** Returns the engine that is running the query, or null. */
    EngineState engine() {
        return engine;
    }

    /** Returns the number of attempts started. */
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

    /** Records an attempt that ended without an answer. */
    void attemptFailed(EngineState failedEngine, AttemptOutcome outcome) {
        if (outcome.mayHaveRun && !mayHaveRun) {
            retryWindowEnd = sentAt + queryClass.retryWindowUs();
            firstRunEndpoint = failedEngine.endpoint();
            mayHaveRun = true;
        }
        lastFailedEngine = failedEngine;
    }

    /** Returns whether an ended attempt may have run, completely or partially. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns the time until which engines deduplicate the query by its idempotency key; set when
     * the query may first have run.
     */
    long retryWindowEnd() {
        return retryWindowEnd;
    }

    /** Returns the engine on which the query may have run first, or null. */
    EngineEndpoint firstRunEndpoint() {
        return firstRunEndpoint;
    }

    boolean failedLastOn(EngineState candidate) {
        return lastFailedEngine == candidate;
    }

    /**
     * Records an error answer. A second error from a different engine means that the query itself
     * causes the errors, if neither engine has a failure score.
     */
    void recordError(EngineState errorEngine) {
        erroneous =
                lastErrorEngine != null
                        && lastErrorEngine != errorEngine
                        && lastErrorEngine.ejection().failureScore()
                                        + errorEngine.ejection().failureScore()
                                == 0;
        lastErrorEngine = errorEngine;
    }

    /** Returns the engine that last answered with an error, or null. */
    EngineState lastErrorEngine() {
        return lastErrorEngine;
    }

    /** Returns whether the query itself causes its errors. */
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

    /** Returns whether the query has been migrated because of slow progress. */
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

    // Answer and latency objective

    /** Returns whether the query has its final answer or was abandoned. */
    boolean isClosed() {
        return closed;
    }

    void setClosed() {
        closed = true;
    }

    /** Returns whether the query was marked as unable to meet its latency objective. */
    boolean isLate() {
        return late;
    }

    /** Marks the query as unable to meet its latency objective and lowers its dispatch value. */
    void setLate() {
        late = true;
        dispatchValue *= queryClass.lateWeightFactor();
    }
}
