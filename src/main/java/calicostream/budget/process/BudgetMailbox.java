// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetCommand;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Between a process's gate, on the front end's loop, and its layer, on the member's thread: the
 * newest word each way, and nobody waits. Any thread; all that passes is immutable.
 */
final class BudgetMailbox {
    /** An engine as the list names it here. */
    record ListedEngine(String name, long incarnation, String pool, int cap) {}

    /**
     * An engine's own count of all its sessions, asked for when the machine was known up to that
     * index.
     */
    record EngineCount(long incarnation, int running, long knownIndex) {}

    /**
     * Engines that the arbiter wants a count of, and the index up to which it knew the machine when
     * it asked.
     */
    record CountRequest(List<String> engines, long knownIndex) {}

    /**
     * What happened to a report: {@code grants} is null where none came, {@code over} where grants
     * are known to be over.
     */
    record ReportOutcome(BudgetCommand.RenewalReply reply, boolean isExpired) {}

    private final AtomicReference<BudgetCommand.Renew> publishReport = new AtomicReference<>();
    private final Map<String, EngineCount> counts = new ConcurrentHashMap<>();
    private volatile List<ListedEngine> listedEngines = List.of();
    private volatile Map<String, Long> removedEngines = Map.of();
    private volatile String publishMetrics = "{}";
    private volatile boolean idle;
    // What the gate does on its own thread; set before the member starts.
    private volatile Consumer<ReportOutcome> answered = answer -> {};
    private volatile Runnable joined = () -> {};
    private volatile Consumer<CountRequest> asked = ask -> {};

    void attachGate(
            Runnable onJoined, Consumer<ReportOutcome> onAnswer, Consumer<CountRequest> onAsk) {
        joined = onJoined;
        answered = onAnswer;
        asked = onAsk;
    }

    // ---- From the gate
    /** A newer report takes the place of one that has not gone. */
    void publishReport(BudgetCommand.Renew next) {
        publishReport.set(next);
    }

    /**
     * @param over engines that the list has told to be gone, with the incarnation that is over
     */
    void publishEngines(List<ListedEngine> now, Map<String, Long> over) {
        listedEngines = List.copyOf(now);
        removedEngines = Map.copyOf(over);
    }

    void publishCount(String engine, EngineCount counted) {
        counts.put(engine, counted);
    }

    void publishMetrics(String now, boolean isIdle) {
        publishMetrics = now;
        idle = isIdle;
    }

    // ---- From the layer
    /** This session may report from now on; what was reported before is void. */
    void joined() {
        publishReport.set(null);
        joined.run();
    }

    BudgetCommand.Renew takeReport() {
        return publishReport.getAndSet(null);
    }

    void completeReport(ReportOutcome answer) {
        answered.accept(answer);
    }

    void requestCounts(CountRequest ask) {
        asked.accept(ask);
    }

    List<ListedEngine> listedEngines() {
        return listedEngines;
    }

    Map<String, Long> removedEngines() {
        return removedEngines;
    }

    /** Taken once. */
    EngineCount takeCount(String engine) {
        return counts.remove(engine);
    }

    String publishMetrics() {
        return publishMetrics;
    }

    boolean isIdle() {
        return idle;
    }
}
