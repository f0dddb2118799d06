// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * What engines do when a call of a kind comes; all engines of a run share one, so the first that is
 * asked acts on it.
 */
final class Script {
    /** What an engine does with a call. */
    enum Act {
        ANSWERS,
        REFUSES,
        REFUSES_AT_END,
        SLOW,
        ERRS,
        ERRS_AT_ONCE,
        NOT_FOUND_AFTER_RUN,
        NOT_FOUND_NEVER_RAN,
        UNIMPLEMENTED_AFTER_RUN,
        DIES_BEFORE,
        DIES_DURING,
        DIES_AFTER,
        DRAINS,
        BAD_PROTOBUF,
        BAD_ARROW,
        BAD_SCHEMA,
        BAD_BODY,
        HANGS,
        CUT_AT_END
    }

    private final Map<String, ArrayDeque<Act>> acts = new HashMap<>();
    private final Map<String, Act> always = new HashMap<>();

    /** The next call of this kind, wherever it comes. */
    synchronized Script next(String kind, Act act) {
        acts.computeIfAbsent(kind, any -> new ArrayDeque<>()).add(act);
        return this;
    }

    synchronized Script always(String kind, Act act) {
        always.put(kind, act);
        return this;
    }

    synchronized Act take(String kind) {
        ArrayDeque<Act> some = acts.get(kind);
        return some == null || some.isEmpty()
                ? always.getOrDefault(kind, Act.ANSWERS)
                : some.poll();
    }
}
