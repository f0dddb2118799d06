// SPDX-License-Identifier: Apache-2.0
package calicostream;

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
 * {@link RosterKind#CACHED} roster, and from then on reports each event once, in the order seen.
 */
public interface QueryRouter {

    /** Called once, before any other event. */
    void start(long now);

    /**
     * The engines changed. After {@code CHANGES} engines not named stay; otherwise they have been
     * removed.
     */
    void roster(long now, RosterKind kind, List<Engine> engines);

    /**
     * A client's query was accepted. Its id is never used again; the module owes exactly one final
     * answer.
     */
    void query(long now, Query query);

    /** A streamed answer began: the attempt belongs to the client and has no deadline any more. */
    void started(long now, long query, int attempt);

    /** News of an attempt that still runs. */
    void progress(long now, Progress progress);

    /** An attempt ended; exactly one for each {@link Actions#send}. */
    void ended(long now, AttemptEnd end);

    /** The client left, or was answered otherwise; nothing more is owed for the query. */
    void abandoned(long now, long query);

    /** A timer asked for with {@link Actions#timer} is due. */
    void timer(long now, long token);

    /**
     * A probe asked for with {@link Actions#probe} ended; {@code report} is null when none came.
     * Unasked, with {@link Outcome#CANCELLED}, it is a hint: another gateway tries an engine that
     * this one leaves out, in vain so far. The next trial is put off; where the module leaves the
     * engine not out, nothing comes of it.
     */
    void probed(long now, long engine, Outcome outcome, Report report);

    /**
     * The operators have put an engine back, as the roster told just now: it is cold, and owed a
     * query soon. Of an engine that the module leaves out it may also be a hint: another gateway
     * has had an answer from it.
     */
    void restored(long now, long engine);

    /**
     * For now so many processes are this one gateway, each with clients of its own; this one has
     * this place among them, from 0. What the rules allow the gateway, they share.
     */
    void sharedBy(long now, int processes, int place);

    /**
     * What it has learned of each class's work, in microseconds, 0 where nothing; another process
     * may start with it.
     */
    double[] learned();

    /**
     * What another process of this gateway has learned, for classes of which this one knows nothing
     * yet.
     */
    void learned(double[] before);

    /** Whether the module leaves this engine out by its own choice, but for trials. */
    boolean avoids(long engine);

    /** What the module asks of the gateway. Each takes effect at once, in the order called. */
    interface Actions {
        /**
         * Starts the query's next attempt (0, 1, 2 ...) on an engine; stop waiting at {@code
         * giveUpAt}.
         */
        void send(long query, long engine, long giveUpAt);

        /** Stops an attempt; an {@link AttemptEnd} still follows. */
        void cancel(long query, int attempt);

        /**
         * Final answer: turned away, and trying again does no harm, best after {@code
         * retryAfterUs}.
         */
        void refuse(long query, long retryAfterUs);

        /** Final answer: failed, with nothing promised about its effect. */
        void fail(long query);

        /**
         * Memory (0: the engine chooses) and priority (0 to 3, usual 1) of the query's next
         * attempts.
         */
        void terms(long query, double memoryMb, int priority);

        /** Asks for {@link QueryRouter#timer} with this token after {@code delayUs}. */
        void timer(long delayUs, long token);

        /** Asks an engine for a load report. */
        void probe(long engine);

        /**
         * Asks to be told of roster changes from now on; used only where {@link
         * Settings#rosterOnRequest}.
         */
        void subscribeRoster();

        /**
         * Whether the query's tenant has room at this engine now; what it has can only grow until
         * the module is next called, but for what the module sends. Asked for each engine in
         * question, so the answer comes from memory.
         */
        default boolean mayUse(long query, long engine) {
            return true;
        }

        /** A line for the operators' log. */
        void log(String text);
    }

    /** How a roster is to be read; {@code FAILED} says that a request for it failed. */
    enum RosterKind {
        CHANGES,
        COMPLETE,
        CACHED,
        FAILED
    }

    /** State of an engine's process as the roster knows it. */
    enum EngineState {
        GONE,
        READY,
        DRAINING
    }

    /**
     * How an attempt or a probe ended. {@code RESET}: with the engine's process; {@code SPOILT}:
     * with its connection alone, or by an answer that can't be read. The simulator's wire has no
     * word for the latter.
     */
    enum Outcome {
        OK(true),
        ERROR(true),
        FULL(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        SPOILT(true),
        CANCELLED(true),
        MOOT(false);

        /** Whether the query may have run, wholly or in part. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /** Whether a class may be repeated: always, by key within a scope and window, or never. */
    enum Effect {
        REPEATABLE,
        BY_KEY,
        ONCE
    }

    /** Engines that discard each other's repeats. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** What a progress event tells. */
    enum Notice {
        SHARE_DONE,
        SPILLS,
        WAITS_FOR_MEMORY,
        WAITS_FOR_LOAD,
        OTHER
    }

    /** An engine as listed; {@code bornUs} is when its process started, 0 for long ago. */
    record Engine(long id, int kind, int cell, int zone, long bornUs, EngineState state) {
        /** The same engine in another state. */
        public Engine in(EngineState other) {
            return new Engine(id, kind, cell, zone, bornUs, other);
        }

        /** The same engine, started at another time. */
        public Engine bornAt(long us) {
            return new Engine(id, kind, cell, zone, us, state);
        }
    }

    /**
     * A query; {@code key} 0: none; {@code costUs} and {@code memoryMb} are estimates, 0: none.
     * {@code pinned}: the one engine that may run it, as what it needs lies there, or 0; such a
     * query never runs twice.
     */
    record Query(
            long id,
            int queryClass,
            int tenant,
            long key,
            long timeLeftUs,
            double costUs,
            double memoryMb,
            int tableGroup,
            boolean clientRetry,
            long pinned) {
        public Query(
                long id,
                int queryClass,
                int tenant,
                long key,
                long timeLeftUs,
                double costUs,
                double memoryMb,
                int tableGroup,
                boolean clientRetry) {
            this(
                    id,
                    queryClass,
                    tenant,
                    key,
                    timeLeftUs,
                    costUs,
                    memoryMb,
                    tableGroup,
                    clientRetry,
                    0);
        }

        /** The same query with so much time left. */
        public Query leaving(long us) {
            return new Query(
                    id,
                    queryClass,
                    tenant,
                    key,
                    us,
                    costUs,
                    memoryMb,
                    tableGroup,
                    clientRetry,
                    pinned);
        }

        /** The same query under another id. */
        public Query as(long other) {
            return new Query(
                    other,
                    queryClass,
                    tenant,
                    key,
                    timeLeftUs,
                    costUs,
                    memoryMb,
                    tableGroup,
                    clientRetry,
                    pinned);
        }
    }

    /** {@code amount} is the share done, or the megabytes missing. */
    record Progress(long query, int attempt, Notice notice, double amount) {}

    /**
     * {@code over}: the client has its answer. {@code workMs}, {@code memoryMb}: what it took, 0:
     * not told.
     */
    record AttemptEnd(
            long query,
            int attempt,
            long engine,
            Outcome outcome,
            boolean over,
            long elapsedUs,
            double workMs,
            double memoryMb,
            Report report) {}

    /**
     * A load report; what the engine does not tell of its queries and cores is NaN. {@code
     * saturation}: the fullest of what its queries share beside the cores, memory granted or disks
     * busy, as a share; 0 where it is not told.
     */
    record Report(double running, double utilization, double saturation) {
        /** A report that tells nothing yet. */
        public static final Report NOTHING = new Report(Double.NaN, Double.NaN, 0);

        /** A report of queries and cores alone. */
        public Report(double running, double utilization) {
            this(running, utilization, 0);
        }

        /** The fullest share of all that it tells of, NaN where it tells of none. */
        public double fullest() {
            return saturation > 0
                    ? Double.isNaN(utilization) ? saturation : Math.max(utilization, saturation)
                    : utilization;
        }

        /**
         * This report with a column of the engine's load report set; columns of no use here are
         * passed over.
         */
        public Report with(String column, double value) {
            switch (column) {
                case "inflight":
                    return new Report(value, utilization, saturation);
                case "util":
                    return new Report(running, value, saturation);
                case "x0", "x1":
                    return new Report(running, utilization, Math.max(saturation, value));
                default:
                    return this;
            }
        }
    }

    /**
     * Start-up settings of a deployment. {@code index} is this gateway's number among {@code
     * gateways}, from 0; {@code zone} is where it stands.
     */
    record Settings(
            int gateways,
            int index,
            int zone,
            Fees fees,
            List<Kind> kinds,
            List<QueryClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            Limits limits,
            Rules rules,
            EngineTraits engines,
            Reporting reporting,
            boolean rosterOnRequest,
            long tickUs) {
        /** The same where engines send no news of what runs. */
        public Settings withoutNotes() {
            EngineTraits silent =
                    new EngineTraits(
                            engines.grants(), engines.priorities(), engines.mostGrant(), 0);
            return new Settings(
                    gateways,
                    index,
                    zone,
                    fees,
                    kinds,
                    classes,
                    tenants,
                    overShareWorth,
                    limits,
                    rules,
                    silent,
                    reporting,
                    rosterOnRequest,
                    tickUs);
        }
    }

    /**
     * What is paid for beside a query's own work, in worth of a usual query: sending it to another
     * zone, and a connection that has to be opened for it. 0: nothing.
     */
    record Fees(double crossZone, double handshake) {}

    /** A kind of machine. */
    record Kind(double cores, double memoryMb) {}

    /** A class of queries; {@code zones} and {@code kinds} are empty where it may run anywhere. */
    record QueryClass(
            long aimUs,
            double aimStretch,
            long deadlineUs,
            double worth,
            double lateWorth,
            Effect effect,
            Scope scope,
            long windowUs,
            boolean inOrder,
            boolean stream,
            int threads,
            boolean load,
            boolean waitsForLoads,
            List<Integer> zones,
            List<Integer> kinds) {
        /** The same where no repeat is allowed. */
        public QueryClass once() {
            return new QueryClass(
                    aimUs,
                    aimStretch,
                    deadlineUs,
                    worth,
                    lateWorth,
                    Effect.ONCE,
                    scope,
                    windowUs,
                    inOrder,
                    stream,
                    threads,
                    load,
                    waitsForLoads,
                    zones,
                    kinds);
        }
    }

    /** A tenant's share: queries a second over all gateways, 0 for no limit. */
    record Tenant(double quotaPerS) {}

    /** What the deployment allows. */
    record Limits(boolean probes, boolean cancel, int maxAttempts) {}

    /** Figures of the rules; {@code rationWindowUs} 0: further attempts are not rationed. */
    record Rules(
            double coldShare,
            double coldMultiple,
            long coldWindowUs,
            long warmUpUs,
            long keyRestUs,
            double rationFree,
            double rationShare,
            long rationWindowUs) {}

    /** What engines heed and tell; {@code noteUs} 0: no progress. */
    record EngineTraits(boolean grants, boolean priorities, double mostGrant, long noteUs) {}

    /** When load reports come: with answers, with probes only, or never. */
    enum Reporting {
        WITH_ANSWERS,
        ON_PROBE,
        NONE
    }
}
