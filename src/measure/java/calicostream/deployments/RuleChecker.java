// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.Idempotency;
import calicostream.routing.IdempotencyScope;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds one life of a front end to the rules, by what it was told and what it did, and by the draw
 * alone: it shares no line with the decision module, nor the settings as that one read them.
 */
final class RuleChecker {
    /** An attempt that may have run, or one that is out: where and when it was sent. */
    private record Sent(int number, EngineEndpoint to, long at) {}

    private static final class Taken {
        final long id;
        final int lane;
        final long key, deadline;
        final List<Sent> risks = new ArrayList<>();
        Sent out;
        int attempts;
        boolean open = true;

        Taken(long id, int lane, long key, long deadline) {
            this.id = id;
            this.lane = lane;
            this.key = key;
            this.deadline = deadline;
        }

        boolean settled() {
            return !open && out == null;
        }
    }

    private final GeneratedDeployment draw;
    private final RuleViolations breaks;
    private final String name;
    private final Map<Long, Taken> taken = new HashMap<>();
    private final Map<Long, List<Taken>> keys = new HashMap<>();
    private final Map<Long, Long> keyRests = new HashMap<>();
    private final Map<Long, EngineEndpoint> told = new HashMap<>();
    private final Map<Long, Long> withdrawn = new HashMap<>();
    private final ArrayDeque<Long> takenAt = new ArrayDeque<>();
    private final ArrayDeque<Long> furtherAt = new ArrayDeque<>();
    int probes, queries;

    RuleChecker(GeneratedDeployment draw, RuleViolations breaks, int index) {
        this.draw = draw;
        this.breaks = breaks;
        name = "front end " + index;
    }

    private void broken(String rule, long now, String what) {
        breaks.add(rule, name + " at " + now + ": " + what);
    }

    // ---- What it is told
    // --------------------------------------------------------------------------------
    void roster(long now, EndpointUpdate kind, List<EngineEndpoint> engines) {
        if (kind == EndpointUpdate.FAILED) {
            return;
        }
        Set<Long> named = new HashSet<>();
        engines.forEach(e -> named.add(e.id()));
        if (kind != EndpointUpdate.INCREMENTAL) {
            told.keySet().stream()
                    .filter(id -> !named.contains(id))
                    .forEach(id -> withdrawn.putIfAbsent(id, now));
        }
        for (EngineEndpoint e : engines) {
            told.put(e.id(), e);
            if (e.lifecycle() == EngineLifecycle.READY) {
                withdrawn.remove(e.id());
            } else {
                withdrawn.putIfAbsent(e.id(), now);
            }
        }
    }

    /** Whether it was told of this start of an engine. */
    boolean knows(long engine, long bornUs) {
        EngineEndpoint e = told.get(engine);
        return e != null && e.startedAtUs() >= bornUs;
    }

    void query(long now, long id, int lane, long key, long deadline) {
        Taken t = new Taken(id, lane, key, deadline);
        taken.put(id, t);
        takenAt.add(now);
        queries++;
        if (key != 0 && draw.lanes().get(lane).inOrder()) {
            keys.computeIfAbsent(key, k -> new ArrayList<>()).add(t);
        }
    }

    void ended(long now, long id, int attempt, AttemptOutcome outcome, boolean over) {
        Taken t = taken.get(id);
        if (t.out != null && t.out.number == attempt) {
            if (outcome.mayHaveRun) {
                t.risks.add(t.out);
            }
            if (outcome == AttemptOutcome.NOT_STARTED) {
                t.attempts--;
            }
            t.out = null;
        }
        boolean mayRunOn =
                outcome == AttemptOutcome.TIMEOUT
                        || outcome == AttemptOutcome.RESET
                        || outcome == AttemptOutcome.CANCELLED
                        || outcome == AttemptOutcome.CONNECTION_BROKEN;
        if (mayRunOn && t.key != 0) {
            keyRests.merge(t.key, now + draw.figures().restUs(), Math::max);
        }
        t.open &= !over;
        forget(t);
    }

    /** The client has left. */
    void abandoned(long id) {
        Taken t = taken.get(id);
        t.open = false;
        forget(t);
    }

    /** The final answer is overdue, or not. */
    void overdue(long now, long id) {
        Taken t = taken.get(id);
        if (t != null && t.open) {
            broken("answer", now, "none to query " + id + ", due at " + t.deadline);
        }
    }

    private void forget(Taken t) {
        if (t.settled()) {
            List<Taken> line = keys.get(t.key);
            if (line != null) {
                line.remove(t);
            }
        }
    }

    // ---- What it does
    // -----------------------------------------------------------------------------------
    void send(long now, long id, long engine) {
        Taken t = taken.get(id);
        EngineEndpoint to = told.get(engine);
        if (t == null || to == null) {
            broken("unknown", now, "query " + id + " to engine " + engine);
            return;
        }
        GeneratedDeployment.Lane lane = draw.lanes().get(t.lane);
        if (!t.open) {
            broken("over", now, "query " + id + " sent after its end");
        }
        if (t.out != null) {
            broken(
                    "two at once",
                    now,
                    "query " + id + " to " + engine + " while at " + t.out.to.id());
        }
        if (++t.attempts > draw.allowed().maxAttempts()) {
            broken("attempts", now, "query " + id + " sent " + t.attempts + " times");
        }
        repeats(now, t, lane, to);
        Long since = withdrawn.get(engine);
        if (since != null && now > since + draw.figures().drainUs()) {
            broken("drain", now, "query " + id + " to " + engine + ", withdrawn at " + since);
        }
        boolean placed =
                (lane.zones().isEmpty() || lane.zones().contains(to.zone()))
                        && (lane.kinds().isEmpty() || lane.kinds().contains(to.kind()));
        if (!placed) {
            broken("placement", now, lane.name() + " to " + to);
        }
        if (t.attempts > 1) {
            further(now, id);
        } else if (t.key != 0 && lane.inOrder()) {
            order(now, t);
        }
        t.out = new Sent(t.attempts - 1, to, now);
    }

    private void repeats(long now, Taken t, GeneratedDeployment.Lane lane, EngineEndpoint to) {
        for (Sent risk : t.risks) {
            boolean sameGroup =
                    lane.scope() == IdempotencyScope.ALL
                            || lane.scope() == IdempotencyScope.ZONE && risk.to.zone() == to.zone()
                            || lane.scope() == IdempotencyScope.CELL && risk.to.cell() == to.cell();
            boolean byKey =
                    lane.effect() == Idempotency.IDEMPOTENT_WITH_KEY
                            && sameGroup
                            && now - risk.at <= lane.windowUs();
            if (lane.effect() != Idempotency.IDEMPOTENT && !byKey) {
                broken(
                        "repeat",
                        now,
                        lane.name()
                                + " "
                                + t.id
                                + " to "
                                + to.id()
                                + ", may have run on "
                                + risk.to.id());
                return;
            }
        }
    }

    private void further(long now, long id) {
        long from = now - draw.figures().rationUs();
        takenAt.removeIf(at -> at < from);
        furtherAt.removeIf(at -> at <= from);
        furtherAt.add(now);
        double most = draw.figures().free() + draw.figures().ratio() * takenAt.size();
        if (draw.figures().rationUs() > 0 && furtherAt.size() > most) {
            broken("ration", now, "query " + id + ": " + furtherAt.size() + " of " + most);
        }
    }

    private void order(long now, Taken t) {
        for (Taken earlier : keys.get(t.key)) {
            if (earlier == t) {
                break;
            }
            if (!earlier.settled()) {
                broken(
                        "order",
                        now,
                        "query " + t.id + " of key " + t.key + " before " + earlier.id);
                return;
            }
        }
        if (now < keyRests.getOrDefault(t.key, now)) {
            broken(
                    "order",
                    now,
                    "query " + t.id + " of key " + t.key + " rests until " + keyRests.get(t.key));
        }
    }

    void refuse(long now, long id) {
        Taken t = taken.get(id);
        if (t != null && t.open) {
            GeneratedDeployment.Lane lane = draw.lanes().get(t.lane);
            boolean mayRun = t.out != null || !t.risks.isEmpty();
            boolean harmless =
                    !mayRun
                            || lane.effect() == Idempotency.IDEMPOTENT
                            || lane.effect() == Idempotency.IDEMPOTENT_WITH_KEY
                                    && lane.scope() == IdempotencyScope.ALL;
            if (!harmless) {
                broken("untrue refusal", now, lane.name() + " " + id + " may have run");
            }
        }
        answer(now, id);
    }

    void answer(long now, long id) {
        Taken t = taken.get(id);
        if (t == null || !t.open) {
            broken("second answer", now, "query " + id);
            return;
        }
        t.open = false;
        forget(t);
    }

    void cancel(long now, long id, int attempt) {
        Taken t = taken.get(id);
        if (!draw.allowed().cancel() || t == null || attempt >= t.attempts) {
            broken("cancel", now, "query " + id + ", attempt " + attempt);
        }
    }

    void terms(long now, long id, double memoryMb, int priority) {
        if (!taken.containsKey(id)
                || !(memoryMb >= 0)
                || memoryMb > 1e9
                || priority < 0
                || priority > 3) {
            broken("terms", now, "query " + id + ": " + memoryMb + ", " + priority);
        }
    }

    void probe(long now, long engine) {
        probes++;
        if (!draw.allowed().probes() || !told.containsKey(engine)) {
            broken("probe", now, "engine " + engine + ", which is not allowed");
        }
    }

    /** Nobody has told it of the list, and it has not asked. */
    void unasked(long now, long since) {
        broken("list", now, "not asked for since " + since);
    }
}
