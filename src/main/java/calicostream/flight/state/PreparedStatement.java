// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A statement that a client prepared, and the handles that engines gave for it. An engine's handle
 * serves one execution at a time, since parameters are bound to it: it is lent out and given back,
 * made where none rests, and forgotten with its engine. {@code B} is what is bound, {@code H} an
 * engine's handle.
 */
public final class PreparedStatement<B, H> {
    /** A handle at an engine. */
    public record EngineHandle<H>(long engine, H handle) {}

    /** A parameter's type in words, the same for equal types; its name is for messages only. */
    public record Parameter(String name, String type) {}

    private static final int MAX_IDLE_PER_ENGINE = 4; // of one engine
    private final Map<Long, ArrayDeque<H>> idleHandles = new HashMap<>();
    private final List<Parameter> parameters; // null: the engine told none
    private B boundParameters;
    private boolean closed;

    public PreparedStatement(List<Parameter> parameters) {
        this.parameters = parameters;
    }

    /** A handle of this engine that no execution uses, or null: one has to be made. */
    public H acquire(long engine) {
        ArrayDeque<H> some = idleHandles.get(engine);
        return some == null ? null : some.poll();
    }

    /** Gives back a handle that may serve again; false: it must be closed at the engine. */
    public boolean release(long engine, H handle) {
        ArrayDeque<H> some = idleHandles.computeIfAbsent(engine, any -> new ArrayDeque<>());
        if (closed || some.size() >= MAX_IDLE_PER_ENGINE) {
            return false;
        }
        some.push(handle);
        return true;
    }

    /** The engine's process has ended, and its handles with it. */
    public void engineLost(long engine) {
        idleHandles.remove(engine);
    }

    /** The statement is over; these have to be closed at their engines. */
    public List<EngineHandle<H>> close() {
        List<EngineHandle<H>> out = new ArrayList<>();
        idleHandles.forEach(
                (engine, some) ->
                        some.forEach(handle -> out.add(new EngineHandle<>(engine, handle))));
        idleHandles.clear();
        closed = true;
        return out;
    }

    public boolean isClosed() {
        return closed;
    }

    /** Binds what executions from now on run with. */
    public void bind(B what) {
        boundParameters = what;
    }

    public B boundParameters() {
        return boundParameters;
    }

    /** Why these parameters can't be bound, or null. {@code got} null: none were sent. */
    public String parameterError(List<Parameter> got, long rows) {
        if (parameters == null) {
            return null; // Not known here: the engine is asked.
        }
        int wanted = parameters.size();
        int have = got == null ? 0 : got.size();
        if (have < wanted) {
            return wanted - have + " of " + wanted + " parameters are missing";
        }
        if (have > wanted) {
            return have + " parameters, " + wanted + " wanted";
        }
        for (int i = 0; i < wanted; i++) {
            if (!parameters.get(i).type.equals(got.get(i).type)) {
                return "parameter "
                        + (i + 1)
                        + " is "
                        + got.get(i).type
                        + ", "
                        + parameters.get(i).type
                        + " wanted";
            }
        }
        return wanted > 0 && rows == 0 ? "no row of parameters" : null;
    }
}
