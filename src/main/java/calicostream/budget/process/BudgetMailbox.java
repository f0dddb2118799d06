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
    record Listed(String name, long incarnation, String pool, int cap) {}

    /**
     * An engine's own count of all its sessions, asked for when the machine was known up to that
     * index.
     */
    record Counted(long incarnation, int running, long seen) {}

    /**
     * Engines that the arbiter wants a count of, and the index up to which it knew the machine when
     * it asked.
     */
    record Ask(List<String> engines, long seen) {}

    /**
     * What happened to a report: {@code grants} is null where none came, {@code over} where grants
     * are known to be over.
     */
    record Answer(BudgetCommand.Grants grants, boolean over) {}

    private final AtomicReference<BudgetCommand.Renew> report = new AtomicReference<>();
    private final Map<String, Counted> counts = new ConcurrentHashMap<>();
    private volatile List<Listed> listed = List.of();
    private volatile Map<String, Long> gone = Map.of();
    private volatile String figures = "{}";
    private volatile boolean idle;
    // What the gate does on its own thread; set before the member starts.
    private volatile Consumer<Answer> answered = answer -> {};
    private volatile Runnable joined = () -> {};
    private volatile Consumer<Ask> asked = ask -> {};

    void gate(Runnable onJoined, Consumer<Answer> onAnswer, Consumer<Ask> onAsk) {
        joined = onJoined;
        answered = onAnswer;
        asked = onAsk;
    }

    // ---- From the gate
    /** A newer report takes the place of one that has not gone. */
    void report(BudgetCommand.Renew next) {
        report.set(next);
    }

    /**
     * @param over engines that the list has told to be gone, with the incarnation that is over
     */
    void list(List<Listed> now, Map<String, Long> over) {
        listed = List.copyOf(now);
        gone = Map.copyOf(over);
    }

    void count(String engine, Counted counted) {
        counts.put(engine, counted);
    }

    void figures(String now, boolean isIdle) {
        figures = now;
        idle = isIdle;
    }

    // ---- From the layer
    /** This session may report from now on; what was reported before is void. */
    void joined() {
        report.set(null);
        joined.run();
    }

    BudgetCommand.Renew takeReport() {
        return report.getAndSet(null);
    }

    void answer(Answer answer) {
        answered.accept(answer);
    }

    void ask(Ask ask) {
        asked.accept(ask);
    }

    List<Listed> listed() {
        return listed;
    }

    Map<String, Long> gone() {
        return gone;
    }

    /** Taken once. */
    Counted takeCount(String engine) {
        return counts.remove(engine);
    }

    String figures() {
        return figures;
    }

    boolean isIdle() {
        return idle;
    }
}
