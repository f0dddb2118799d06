// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetCommand;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Passes the newest messages between a process's gate, on the front end's loop, and its service and
 * coordinator's task, on the member's thread. Thread-safe and never blocks; all that is passed is
 * immutable.
 */
final class BudgetMailbox {
    /** An engine as this process's endpoint list has it. */
    record ListedEngine(String name, long incarnation, String pool, int cap) {}

    /**
     * An engine's own count of all its sessions.
     *
     * @param knownIndex index up to which the state machine was known when it was asked for
     */
    record EngineCount(long incarnation, int running, long knownIndex) {}

    /**
     * The coordinator wants engines to be counted.
     *
     * @param knownIndex index up to which it knew the state machine when it asked
     */
    record CountRequest(List<String> engines, long knownIndex) {}

    /** What the gate is notified of; called on the member's thread. */
    interface GateListener {
        /** The process has joined under a new cluster session. */
        void joined();

        /** A report was answered, or has failed. */
        void reportCompleted(ReportOutcome outcome);

        /** The coordinator wants engines to be counted. */
        void countsRequested(CountRequest request);
    }

    /** Stands in where the process has no gate. */
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
                    // There are no engines to ask.
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

    /** From the gate: a report, in place of an earlier one that was not taken. */
    void publishReport(BudgetCommand.Renew next) {
        report.set(next);
    }

    /**
     * From the gate: the endpoint list.
     *
     * @param removed the last incarnations of engines that the list has removed, by name
     */
    void publishEngines(List<ListedEngine> listed, Map<String, Long> removed) {
        listedEngines = List.copyOf(listed);
        removedEngines = Map.copyOf(removed);
    }

    /** From the gate: an engine's count, in place of an earlier one that was not taken. */
    void publishCount(String engine, EngineCount count) {
        counts.put(engine, count);
    }

    /** From the gate: its metrics, and whether no session of this process runs anywhere. */
    void publishMetrics(String json, boolean idle) {
        metricsJson = json;
        isIdle = idle;
    }

    /** To the gate: a new cluster session; what was reported before is void. */
    void joined() {
        report.set(null);
        gate.joined();
    }

    /** To the gate. */
    void completeReport(ReportOutcome outcome) {
        gate.reportCompleted(outcome);
    }

    /** To the gate. */
    void requestCounts(CountRequest request) {
        gate.countsRequested(request);
    }

    /** The report to send, once; null if there is none. */
    BudgetCommand.Renew takeReport() {
        return report.getAndSet(null);
    }

    List<ListedEngine> listedEngines() {
        return listedEngines;
    }

    Map<String, Long> removedEngines() {
        return removedEngines;
    }

    /** The engine's count, once; null if there is none. */
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
