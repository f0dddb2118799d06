// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.AttemptResult;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.LoadReport;
import calicostream.routing.ProgressKind;
import calicostream.routing.Query;
import calicostream.routing.QueryProgress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes the events that are for a running router instance, and keeps the endpoint lists that they
 * refer to. All fields of an event are read before it is applied.
 */
final class EventDecoder {
    private static final long NO_STICKY_ENGINE = 0;

    /** A result's cost field is the work in milliseconds times this, plus the memory in units. */
    private static final double COST_WORK_FACTOR = 4096;

    private static final double COST_MEMORY_UNIT_MB = 4;
    private static final int HAS_WORK_ESTIMATE = 1;
    private static final int IS_CLIENT_RETRY = 2;

    /** A query that waits for at least this amount waits for the engine's load, not for memory. */
    private static final double MIN_LOAD_WAIT_AMOUNT = 2;

    private final Map<Integer, List<EngineEndpoint>> endpointLists = new HashMap<>();

    /** Reads the definition of an endpoint list. */
    void defineEndpointList(EventBatch in) {
        int number = in.u16();
        long count = in.u32();
        List<EngineEndpoint> endpoints = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            in.f32(); // Not used.
            int kind = in.u8();
            int cell = in.u16();
            long id = in.engine();
            int zone = in.u16();
            long startedAt = in.u64();
            EngineLifecycle lifecycle = lifecycle(in.u8());
            endpoints.add(new EngineEndpoint(id, kind, cell, zone, startedAt, lifecycle));
        }
        endpointLists.put(number, List.copyOf(endpoints));
    }

    /** Decodes an event behind its code and its instance's number. */
    RouterEvent decode(EventCode code, EventBatch in, RouterInstance instance) {
        switch (code) {
            case ENDPOINTS_CHANGED:
                return endpointsChanged(in);
            case QUERY_ACCEPTED:
                return queryAccepted(in);
            case STREAM_STARTED:
                return streamStarted(in);
            case QUERY_PROGRESS:
                return queryProgress(in);
            case ATTEMPT_ENDED:
                return attemptEnded(in, instance);
            case QUERY_ABANDONED:
                return queryAbandoned(in);
            case TIMER_FIRED:
                return timerFired(in);
            case PROBE_COMPLETED:
                return probeCompleted(in, instance);
            case GATEWAY_MESSAGE:
                return gatewayMessage(in);
            default:
                throw new IllegalArgumentException("not an event of a running instance: " + code);
        }
    }

    private RouterEvent endpointsChanged(EventBatch in) {
        in.u64(); // Not used.
        int number = in.u16();
        EndpointUpdate update = endpointUpdate(in.u8());
        List<EngineEndpoint> endpoints =
                update == EndpointUpdate.FAILED ? List.of() : endpointLists.get(number);
        if (endpoints == null) {
            throw new MalformedFrameException("list " + number + " was never sent");
        }
        return router -> router.endpointsChanged(in.timeMicros(), update, endpoints);
    }

    private static RouterEvent queryAccepted(EventBatch in) {
        long id = in.u32();
        int queryClass = in.u8();
        int tenant = in.u16();
        long key = in.u64();
        long timeLeft = in.u32();
        double work = in.u32();
        double memory = in.f32();
        int tableGroup = (int) in.f32();
        int flags = in.u16();
        double estimatedWork = (flags & HAS_WORK_ESTIMATE) != 0 ? work : 0;
        boolean clientRetry = (flags & IS_CLIENT_RETRY) != 0;
        Query query =
                new Query(
                        id,
                        queryClass,
                        tenant,
                        key,
                        timeLeft,
                        estimatedWork,
                        memory,
                        tableGroup,
                        clientRetry,
                        NO_STICKY_ENGINE);
        return router -> router.queryAccepted(in.timeMicros(), query);
    }

    private static RouterEvent streamStarted(EventBatch in) {
        long query = in.u32();
        in.engine(); // Not used.
        in.u32(); // Not used.
        int attempt = in.u16();
        return router -> router.streamStarted(in.timeMicros(), query, attempt);
    }

    private static RouterEvent queryProgress(EventBatch in) {
        long query = in.u32();
        ProgressKind reported = progressKind(in.u8());
        double amount = in.f32();
        int attempt = in.u16();
        in.engine(); // Not used.
        boolean waitsForLoad =
                reported == ProgressKind.WAITING_FOR_MEMORY && amount >= MIN_LOAD_WAIT_AMOUNT;
        ProgressKind kind = waitsForLoad ? ProgressKind.WAITING_FOR_LOAD : reported;
        QueryProgress progress = new QueryProgress(query, attempt, kind, amount);
        return router -> router.progress(in.timeMicros(), progress);
    }

    private static RouterEvent attemptEnded(EventBatch in, RouterInstance instance) {
        long query = in.u32();
        long elapsed = in.u32();
        boolean requestAnswered = in.u8() != 0;
        AttemptOutcome outcome = attemptOutcome(in.u16());
        long cost = in.u32();
        int attempt = in.u16();
        long engine = in.engine();
        LoadReport report = loadReport(in, instance);
        boolean hasCost = instance.reportsCost() && outcome == AttemptOutcome.OK;
        double work = hasCost ? Math.floor(cost / COST_WORK_FACTOR) : 0;
        double memory = hasCost ? cost % COST_WORK_FACTOR * COST_MEMORY_UNIT_MB : 0;
        AttemptResult result =
                new AttemptResult(
                        query,
                        attempt,
                        engine,
                        outcome,
                        requestAnswered,
                        elapsed,
                        work,
                        memory,
                        report);
        return router -> router.attemptEnded(in.timeMicros(), result);
    }

    private static RouterEvent queryAbandoned(EventBatch in) {
        long query = in.u32();
        return router -> router.queryAbandoned(in.timeMicros(), query);
    }

    private static RouterEvent timerFired(EventBatch in) {
        long token = in.u64();
        return router -> router.timerFired(in.timeMicros(), token);
    }

    private static RouterEvent probeCompleted(EventBatch in, RouterInstance instance) {
        long engine = in.engine();
        AttemptOutcome outcome = attemptOutcome(in.u16());
        in.u32(); // Not used.
        LoadReport report = loadReport(in, instance);
        return router -> router.probeCompleted(in.timeMicros(), engine, outcome, report);
    }

    private static RouterEvent gatewayMessage(EventBatch in) {
        in.u16(); // Not used.
        in.skip(in.u16());
        return router -> {};
    }

    /** Null where the engine sent no report. */
    private static LoadReport loadReport(EventBatch in, RouterInstance instance) {
        int count = in.u8();
        LoadReport report = count == 0 ? null : LoadReport.EMPTY;
        for (int i = 0; i < count; i++) {
            report = instance.withColumn(report, i, in.f32());
        }
        return report;
    }

    private static EndpointUpdate endpointUpdate(int code) {
        switch (code) {
            case 0:
                return EndpointUpdate.INCREMENTAL;
            case 1:
                return EndpointUpdate.COMPLETE;
            case 2:
                return EndpointUpdate.CACHED;
            case 3:
                return EndpointUpdate.FAILED;
            default:
                throw new MalformedFrameException("unknown form of list " + code);
        }
    }

    private static EngineLifecycle lifecycle(int code) {
        switch (code) {
            case 0:
                return EngineLifecycle.REMOVED;
            case 1:
                return EngineLifecycle.READY;
            case 2:
                return EngineLifecycle.DRAINING;
            default:
                throw new MalformedFrameException("unknown state of an engine " + code);
        }
    }

    private static ProgressKind progressKind(int code) {
        switch (code) {
            case 1:
                return ProgressKind.FRACTION_DONE;
            case 2:
                return ProgressKind.SPILLING;
            case 3:
                return ProgressKind.WAITING_FOR_MEMORY;
            default:
                return ProgressKind.OTHER;
        }
    }

    private static AttemptOutcome attemptOutcome(int code) {
        switch (code) {
            case 10:
                return AttemptOutcome.OK;
            case 20:
                return AttemptOutcome.ERROR;
            case 30:
                return AttemptOutcome.OVERLOADED;
            case 40:
                return AttemptOutcome.TIMEOUT;
            case 50:
                return AttemptOutcome.CONNECT_FAILED;
            case 60:
                return AttemptOutcome.RESET;
            case 70:
                return AttemptOutcome.CANCELLED;
            case 80:
                return AttemptOutcome.NOT_STARTED;
            default:
                throw new MalformedFrameException("unknown outcome " + code);
        }
    }
}
