// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Answers that many clients ask for: equal questions at the same time share one attempt, and an
 * answer lives for a while, unless its catalog changes. An attempt that began before a change is
 * not kept, as it may not have seen it. {@code W} is who waits, {@code V} the answer.
 */
public final class SharedAnswers<W, V> {
    /** What to do with a question: answer it now, wait for an attempt under way, or make one. */
    public enum Step {
        ANSWER,
        WAIT,
        ASK
    }

    private static final class Asked<W> {
        final List<W> waiting = new ArrayList<>();
        final long epoch;

        Asked(long epoch) {
            this.epoch = epoch;
        }
    }

    private record Kept<V>(String catalog, V answer, long bytes, long until) {}

    private final long lifeUs;
    private final long mostBytes;
    private final Map<String, Asked<W>> asked = new HashMap<>();
    private final LinkedHashMap<String, Kept<V>> kept = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;
    private long epoch;
    private long hits, joins, asks;

    public SharedAnswers(long lifeUs, long mostBytes) {
        this.lifeUs = lifeUs;
        this.mostBytes = mostBytes;
    }

    /** A question of somebody who waits for its answer, unless it is there. */
    public Step ask(long now, String question, W who) {
        if (find(now, question) != null) {
            hits++;
            return Step.ANSWER;
        }
        Asked<W> under = asked.get(question);
        if (under != null
                && under.epoch == epoch) { // One that began before a change is not waited for.
            under.waiting.add(who);
            joins++;
            return Step.WAIT;
        }
        asks++;
        asked.put(question, new Asked<>(epoch));
        asked.get(question).waiting.add(who);
        return Step.ASK;
    }

    /** The answer, if it is kept and not too old. */
    public V find(long now, String question) {
        Kept<V> found = kept.get(question);
        if (found != null && found.until <= now) {
            forget(question);
            return null;
        }
        return found == null ? null : found.answer;
    }

    /** The number of the present state of all catalogs, to be given back with an answer. */
    public long epoch() {
        return epoch;
    }

    /** The attempt made in this epoch brought an answer; those who waited for it are returned. */
    public List<W> answered(
            long now, String question, long askedIn, String catalog, V answer, long size) {
        if (askedIn == epoch && size <= mostBytes / 4 && lifeUs > 0) {
            forget(question);
            kept.put(question, new Kept<>(catalog, answer, size, now + lifeUs));
            bytes += size;
            while (bytes > mostBytes) {
                forget(kept.keySet().iterator().next());
            }
        }
        return over(question, askedIn);
    }

    /** The attempt made in this epoch brought no answer. */
    public List<W> failed(String question, long askedIn) {
        return over(question, askedIn);
    }

    private List<W> over(String question, long askedIn) {
        Asked<W> under = asked.get(question);
        if (under == null || under.epoch != askedIn) {
            return List.of();
        }
        asked.remove(question);
        return under.waiting;
    }

    /** Somebody who waits has left; true: nobody waits any more, and the attempt is not needed. */
    public boolean left(String question, W who) {
        Asked<W> under = asked.get(question);
        if (under == null || !under.waiting.remove(who)) {
            return false;
        }
        if (under.waiting.isEmpty()) {
            asked.remove(question);
            return true;
        }
        return false;
    }

    /** A catalog has changed, or any of them may have where its name is empty. */
    public void changed(String catalog) {
        epoch++;
        List<String> stale = new ArrayList<>();
        kept.forEach(
                (question, each) -> {
                    if (catalog.isEmpty()
                            || each.catalog.isEmpty()
                            || each.catalog.equals(catalog)) {
                        stale.add(question);
                    }
                });
        stale.forEach(this::forget);
    }

    private void forget(String question) {
        Kept<V> gone = kept.remove(question);
        bytes -= gone == null ? 0 : gone.bytes;
    }

    public long bytes() {
        return bytes;
    }

    /** Questions answered from memory, that shared an attempt, and that made one. */
    public long[] counts() {
        return new long[] {hits, joins, asks};
    }
}
