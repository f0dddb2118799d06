// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.Bytes;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Trials of benched engines, so that one process of the fleet tries an engine and the others hear how it went. Pure, one thread, its own
 * monotonic time in nanoseconds. What is heard is a hint with an age: it never orders a process to use or to leave an engine, and a
 * process that hears nothing tries for itself, as without the cluster.
 */
public final class Trials {
    /** The lease under which one process tries. */
    public static final String LEASE = "trials";

    /** How a trial went, and how long ago at least. */
    public record Hint(boolean served, long ageNanos) { }

    /**
     * @param every from one trial of an engine to the next
     * @param fresh until when a hint is worth something
     * @param patience after which a process that heard nothing of its engine tries for itself; more than {@code every}
     */
    public record Pace(long every, long fresh, long patience) { }

    private static final class Engine {
        long since; // benched here, or last tried here
        boolean isOut;
        boolean told;
        boolean served;
        long trialAt;
    }

    private final Pace pace;
    private final Map<Long, Engine> benched = new LinkedHashMap<>();

    public Trials(Pace pace) {
        this.pace = pace;
    }

    /** This process benched the engine. Trials and hints from before say nothing of what happened since. */
    public void benched(long now, long engine) {
        Engine made = new Engine();
        made.since = now;
        benched.put(engine, made);
    }

    /** It is used again, or gone. */
    public void back(long engine) {
        benched.remove(engine);
    }

    /**
     * The engine to try now, the one that has waited longest; its end is told by {@link #tried}. One at a time, so that a zone that is
     * lost does not cost a burst of trials.
     *
     * @param holds whether this process holds the lease
     */
    public OptionalLong next(long now, boolean holds) {
        long chosen = 0;
        Engine longest = null;
        for (Map.Entry<Long, Engine> each : benched.entrySet()) {
            Engine engine = each.getValue();
            if (engine.isOut) {
                return OptionalLong.empty();
            }
            boolean due = now - engine.since >= (holds ? pace.every : pace.patience);
            boolean heard = !holds && engine.told && now - engine.trialAt < pace.patience;
            if (due && !heard && (longest == null || engine.since - longest.since < 0)) {
                longest = engine;
                chosen = each.getKey();
            }
        }
        if (longest == null) {
            return OptionalLong.empty();
        }
        longest.isOut = true;
        return OptionalLong.of(chosen);
    }

    /** How the trial went here. What it returns is for the log, under the lease, if this process still holds it. */
    public byte[] tried(long now, long engine, boolean served) {
        Engine of = benched.get(engine);
        if (of != null) {
            of.isOut = false;
            of.since = now;
            told(of, served, now);
        }
        return new Bytes.Writer().i64(engine).u8(served ? 1 : 0).done();
    }

    /**
     * The log told of a trial.
     *
     * @param ageNanos how old the word is at least: what the copy that told it states
     * @throws calicostream.cluster.ClusterException.Malformed if it is no word of a trial
     */
    public void heard(long now, byte[] word, long ageNanos) {
        Bytes.Reader in = new Bytes.Reader("trial", word);
        Engine of = benched.get(in.i64());
        boolean served = in.u8() != 0;
        in.end();
        long at = now - ageNanos;
        if (of != null && (!of.told || at - of.trialAt > 0) && at - of.since > 0) {
            told(of, served, at);
        }
    }

    private static void told(Engine of, boolean served, long at) {
        of.told = true;
        of.served = served;
        of.trialAt = at;
    }

    /** What is known of a trial since the engine was benched here; empty once it is too old to be worth something. */
    public Optional<Hint> hint(long now, long engine) {
        Engine of = benched.get(engine);
        return of == null || !of.told || now - of.trialAt > pace.fresh ? Optional.empty()
                : Optional.of(new Hint(of.served, Math.max(0, now - of.trialAt)));
    }
}
