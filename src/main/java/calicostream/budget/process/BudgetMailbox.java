// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetCommand;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Passes the latest messages between a process's gate, on the front end's loop, and its service and
 * coordinator task, on the member's thread. Thread-safe and non-blocking; all messages are
 * immutable.
 */
final class BudgetMailbox {
    /** An engine in this process's endpoint list. */
    record ListedEngine(String name, long incarnation, String pool, int cap) {}

    /**
     * An engine's own count of all its sessions.
     *
     * @param appliedIndex last index that the coordinator's copy had applied when it requested the
     *     count
     */
    record EngineCount(long incarnation, int running, long appliedIndex) {}

    /**
     * The coordinator's request for counts of engines.
     *
     * @param appliedIndex last index that the coordinator's copy had applied at the request
     */
    record CountRequest(List<String> engines, long appliedIndex) {}

    /** Notifies the gate; called on the member's thread. */
    interface GateListener {
        /** The process has joined under a new cluster session. */
        void joined();

        /** A report was accepted, was rejected or has failed. */
        void reportCompleted(ReportOutcome outcome);

        /** The coordinator has requested counts of engines. */
        void countsRequested(CountRequest request);
    }

    /** Used as long as no gate is attached. */
    private static final GateListener NO_GATE =
            new GateListener() {
                @Override
                public void joined() {
                    // There is nothing to report.
                }

                @Override
                public void reportCompleted(ReportOutcome outcome) {
                    // There are no grants to update.
                }

                @Override
                public void countsRequested(CountRequest request) {
                    // There are no engines to count.
                }
            };

    private final AtomicReference<BudgetCommand.Renew> report = new AtomicReference<>();
    private final Map<String, EngineCount> counts = new ConcurrentHashMap<>();
    private volatile List<ListedEngine> listedEngines = List.of();
    private volatile Map<String, Long> removedEngines = Map.of();
    private volatile String metricsJson = "{}";
    private volatile boolean isIdle;
    private volatile GateListener gate = NO_GATE;

    /** Called once, before the member starts. */
    void attachGate(GateListener listener) {
        gate = listener;
    }

    /** From the gate: a report, which replaces an earlier one that was not taken. */
    void publishReport(BudgetCommand.Renew newReport) {
        report.set(newReport);
    }

    /**
     * From the gate: the endpoint list.
     *
     * @param removed last incarnation of each engine removed from the list, by name
     */
    void publishEngines(List<ListedEngine> listed, Map<String, Long> removed) {
        listedEngines = List.copyOf(listed);
        removedEngines = Map.copyOf(removed);
    }

    /** From the gate: an engine's count, which replaces an earlier one that was not taken. */
    void publishCount(String engine, EngineCount count) {
        counts.put(engine, count);
    }

    /** From the gate: its metrics, and whether this process has no running session. */
    void publishMetrics(String json, boolean idle) {
        metricsJson = json;
        isIdle = idle;
    }

    /** To the gate: a new cluster session; discards a report made under the old one. */
    void joined() {
        report.set(null);
        gate.joined();
    }

    /** To the gate: the outcome of a report. */
    void completeReport(ReportOutcome outcome) {
        gate.reportCompleted(outcome);
    }

    /** To the gate: a request for counts of engines. */
    void requestCounts(CountRequest request) {
        gate.countsRequested(request);
    }

    /** Removes and returns the report to send; null if there is none. */
    BudgetCommand.Renew takeReport() {
        return report.getAndSet(null);
    }

    List<ListedEngine> listedEngines() {
        return listedEngines;
    }

    Map<String, Long> removedEngines() {
        return removedEngines;
    }

    /** Removes and returns the engine's count; null if there is none. */
    EngineCount takeCount(String engine) {
        return counts.remove(engine);
    }

    String metricsJson() {
        return metricsJson;
    }

    boolean isIdle() {
        return isIdle;
    }
}
