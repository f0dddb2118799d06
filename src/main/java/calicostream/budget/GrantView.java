// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.budget.GrantLedger.Held;
import calicostream.budget.GrantLedger.Line;
import calicostream.budget.GrantLedger.ProcessBook;
import java.util.ArrayList;
import java.util.List;

/**
 * What a copy of the grant machine knows, for arbiters and operators. Same thread as its machine;
 * changes nothing.
 */
public final class GrantView {
    /** An engine; {@code target} is under {@code cap} while a lowered cap is not in force. */
    public record Engine(
            String name,
            long incarnation,
            String pool,
            int cap,
            int target,
            int committed,
            int granted) {}

    /** A tenant in the whole fleet. */
    public record Sum(int granted, int wanted) {}

    /**
     * Sessions that count until the engine tells; {@code over} is the index from which its word is
     * proof.
     */
    public record Unproven(
            String engine, String process, long session, boolean former, long over, int sessions) {}

    private final GrantLedger books;

    GrantView(GrantLedger books) {
        this.books = books;
    }

    /** Index of the last command that the copy has applied; 0 if none. */
    public long index() {
        return books.index;
    }

    public List<Engine> engines() {
        List<Engine> out = new ArrayList<>();
        books.engines.forEach(
                (name, engine) ->
                        out.add(
                                new Engine(
                                        name,
                                        engine.incarnation,
                                        engine.pool,
                                        engine.cap,
                                        engine.target,
                                        books.committed(name),
                                        books.processes.values().stream()
                                                .filter(process -> process.held.containsKey(name))
                                                .mapToInt(
                                                        process -> process.held.get(name).granted())
                                                .sum())));
        return out;
    }

    public Sum sum(String tenant) {
        int granted = 0;
        int wanted = 0;
        for (ProcessBook process : books.processes.values()) {
            for (Held held : process.held.values()) {
                Line line = held.lines.get(tenant);
                granted += line == null ? 0 : line.granted;
                wanted += line == null ? 0 : line.wanted;
            }
        }
        return new Sum(granted, wanted);
    }

    /**
     * What silent processes, and starts before the present ones, may have in use and no longer may
     * begin.
     */
    public List<Unproven> unproven() {
        List<Unproven> out = new ArrayList<>();
        books.processes.forEach(
                (name, process) ->
                        process.held.forEach(
                                (engine, held) -> {
                                    int sessions = Math.max(held.used, held.most());
                                    if (process.session != 0
                                            && process.expiredAt != 0
                                            && sessions > 0) {
                                        out.add(
                                                new Unproven(
                                                        engine,
                                                        name,
                                                        process.session,
                                                        false,
                                                        process.expiredAt,
                                                        sessions));
                                    }
                                    if (process.session != 0
                                            && process.hasFormer
                                            && process.formerExpiredAt != 0
                                            && held.left > 0) {
                                        out.add(
                                                new Unproven(
                                                        engine,
                                                        name,
                                                        process.session,
                                                        true,
                                                        process.formerExpiredAt,
                                                        held.left));
                                    }
                                }));
        return out;
    }
}
