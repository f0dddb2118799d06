// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A client's prepared statement with a pool of engine handles. A handle serves one execution at a
 * time, because parameters are bound to it. Handles are acquired and released per execution, and
 * dropped when their engine is lost.
 *
 * @param <B> the bound parameters
 * @param <H> the engine's handle
 */
public final class PreparedStatement<B, H> {
    /** A statement handle of one engine. */
    public record EngineHandle<H>(long engine, H handle) {}

    /** A parameter; {@code type} is a canonical description, and the name is for messages only. */
    public record Parameter(String name, String type) {}

    private static final int MAX_IDLE_PER_ENGINE = 4;
    private final Map<Long, ArrayDeque<H>> idleHandles = new HashMap<>();
    // Null if the engine did not report any parameter schema.
    private final List<Parameter> parameters;
    private B boundParameters;
    private boolean closed;

    /** Creates a statement; {@code parameters} is null if the engine reported no schema. */
    public PreparedStatement(List<Parameter> parameters) {
        this.parameters = parameters;
    }

    /** Takes an idle handle of this engine, or null if a new one has to be created. */
    public H acquire(long engine) {
        ArrayDeque<H> handles = idleHandles.get(engine);
        return handles == null ? null : handles.poll();
    }

    /** Returns a handle to the pool; false if the caller must close it at the engine. */
    public boolean release(long engine, H handle) {
        ArrayDeque<H> handles = idleHandles.computeIfAbsent(engine, any -> new ArrayDeque<>());
        if (closed || handles.size() >= MAX_IDLE_PER_ENGINE) {
            return false;
        }
        handles.push(handle);
        return true;
    }

    /** Drops the handles of an engine whose process has ended. */
    public void engineLost(long engine) {
        removeIdle(engine);
    }

    /** Removes and returns the idle handles of an engine; no execution uses them any more. */
    public List<H> removeIdle(long engine) {
        ArrayDeque<H> removed = idleHandles.remove(engine);
        return removed == null ? List.of() : List.copyOf(removed);
    }

    /** Closes the statement; the returned handles have to be closed at their engines. */
    public List<EngineHandle<H>> close() {
        List<EngineHandle<H>> out = new ArrayList<>();
        idleHandles.forEach(
                (engine, handles) ->
                        handles.forEach(handle -> out.add(new EngineHandle<>(engine, handle))));
        idleHandles.clear();
        closed = true;
        return out;
    }

    /** The engines that have idle handles. */
    public Set<Long> enginesInUse() {
        return Set.copyOf(idleHandles.keySet());
    }

    /** Whether the statement is closed. */
    public boolean isClosed() {
        return closed;
    }

    /** Sets the parameters for subsequent executions. */
    public void bind(B newParameters) {
        boundParameters = newParameters;
    }

    /** The bound parameters, or null if there are none. */
    public B boundParameters() {
        return boundParameters;
    }

    /**
     * Why these parameters can't be bound, or null if they can; {@code got} is null if none were
     * sent.
     */
    public String parameterError(List<Parameter> got, long rows) {
        if (parameters == null) {
            // Without a schema, validation is left to the engine.
            return null;
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
