// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Trials of benched engines, so that one process of the fleet tries an engine and the others hear
 * how it went. The holder says which engines its front end leaves out and tries, and which of them
 * have served since; the others take it as a hint with an age, which moves their own next trial. It
 * never makes a process use or leave an engine: a process that hears nothing tries for itself, as
 * without the cluster. Decisions alone; one thread, the session's.
 *
 * <p>What the holder says is its present view and not what changed, so a word that is lost costs a
 * period.
 */
public final class EjectionHints implements LeasedTask {
    /** The lease under which one process tries. */
    public static final String LEASE = "trials";

    static final long CHANGE = 250_000_000; // ns at least between two words
    static final long REPEAT = 1_000_000_000; // ns between two that say the same
    static final int SAYINGS = 3; // of an engine that has served
    static final int MOST = 1024; // engines in a word
    private static final int VERSION = 1;
    private static final int ENTRY = 13;

    /** How it went with an engine elsewhere, and how long ago that is at least. */
    public record Hint(boolean served, long ageNanos) {}

    /**
     * What a word says of an engine: since when it is out, or when it had served, both as an age at
     * the sender, in milliseconds.
     */
    private record Said(long engine, boolean served, int ageMillis) {}

    /**
     * Engines that may be used, in rising order: those that are left out by choice, but for trials,
     * and all others.
     */
    public record View(long[] leftOut, long[] used) {}

    /** The front end's side; both are to return at once, from state in memory. */
    public interface FrontEnd {
        /** Its engines as of some moments ago. */
        View view();

        /**
         * Another one tries it, or has had an answer from it; nothing comes of it where the engine
         * is not left out.
         */
        void hinted(long engine, boolean served);
    }

    private static final class Back {
        long since;
        int said;
    }

    private final FrontEnd front;
    private final Map<Long, Long> outSince = new TreeMap<>(); // at this process while it holds
    private final Map<Long, Back> back = new TreeMap<>();
    private final Map<Long, Long> known =
            new TreeMap<>(); // engine, and the word's number with which it had served
    private final Map<Long, Hint> hints = new LinkedHashMap<>();
    private final Map<Long, Long> hintedAt = new TreeMap<>();
    private Set<Long> saidOut = Set.of();
    private long saidAt;
    private boolean started;
    private boolean holds;
    private long number;
    private long token; // of the last word that was heard
    private long heardNumber;
    private long lastNow;

    public EjectionHints(FrontEnd front) {
        this.front = front;
    }

    @Override
    public String lease() {
        return LEASE;
    }

    // ---- The holder
    // -----------------------------------------------------------------------------------
    @Override
    public void started(FencedActions acts) {
        holds = true;
        started = false;
        number = 0;
        outSince.clear();
        back.clear();
        saidOut = Set.of();
    }

    @Override
    public void stopped() {
        holds = false;
    }

    @Override
    public void step(FencedActions acts, long now) {
        if (started && now - saidAt < CHANGE) {
            return;
        }
        lastNow = now;
        look(now);
        boolean changed =
                !outSince.keySet().equals(saidOut)
                        || back.values().stream().anyMatch(each -> each.said == 0);
        if ((!outSince.isEmpty() || !back.isEmpty()) && (changed || now - saidAt >= REPEAT)) {
            started = true;
            saidAt = now;
            saidOut = Set.copyOf(outSince.keySet());
            acts.tell(word(now), outcome -> {});
        }
    }

    private void look(long now) {
        View view = front.view();
        Set<Long> out = new TreeSet<>();
        Arrays.stream(view.leftOut).limit(MOST / 2).forEach(out::add);
        for (long engine : view.used) {
            if (outSince.remove(engine) != null) {
                Back made = new Back();
                made.since = now;
                back.put(engine, made);
            }
        }
        outSince.keySet().retainAll(out); // The rest is gone from the list, which all have.
        for (long engine : out) {
            outSince.putIfAbsent(engine, now);
            back.remove(engine);
        }
        back.values().removeIf(each -> each.said >= SAYINGS);
    }

    private byte[] word(long now) {
        List<Said> all = new ArrayList<>();
        outSince.forEach((engine, since) -> all.add(new Said(engine, false, millis(now - since))));
        back.forEach(
                (engine, each) -> {
                    each.said++;
                    all.add(new Said(engine, true, millis(now - each.since)));
                });
        BinaryCodec.Writer out =
                new BinaryCodec.Writer().u8(VERSION).i64(++number).i32(Math.min(MOST, all.size()));
        all.stream()
                .limit(MOST)
                .forEach(each -> out.i64(each.engine).u8(each.served ? 1 : 0).i32(each.ageMillis));
        return out.toByteArray();
    }

    private static int millis(long nanos) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, nanos / 1_000_000));
    }

    // ---- The others
    // -----------------------------------------------------------------------------------
    /**
     * @throws calicostream.cluster.ClusterException.Malformed if it is no word of a trial; nothing
     *     is done then
     */
    @Override
    public void heard(long of, byte[] payload, long now) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("trials", payload);
        in.requireVersion(VERSION);
        long word = in.i64();
        List<Said> all = new ArrayList<>();
        for (int left = in.count(ENTRY); left > 0; left--) {
            all.add(new Said(in.i64(), in.u8() != 0, in.i32()));
        }
        in.requireEnd();
        if (of < token || of == token && word <= heardNumber) {
            return; // Late, or there twice.
        }
        if (of > token) {
            known.clear();
        }
        token = of;
        heardNumber = word;
        lastNow = now;
        if (!holds) {
            all.forEach(each -> take(each, word, now));
        }
    }

    /**
     * That an engine has served is a hint once, however often it is said: it may have failed here
     * since.
     */
    private void take(Said said, long word, long now) {
        if (said.served && known.putIfAbsent(said.engine, word) != null) {
            return;
        }
        if (!said.served) {
            known.remove(said.engine);
        }
        if (hints.size() >= MOST && !hints.containsKey(said.engine)) {
            Long oldest = hints.keySet().iterator().next();
            hints.remove(oldest);
            hintedAt.remove(oldest);
        }
        hints.remove(said.engine);
        hints.put(said.engine, new Hint(said.served, said.ageMillis * 1_000_000L));
        hintedAt.put(said.engine, now);
        front.hinted(said.engine, said.served);
    }

    /** What was last heard of each engine, newest last. */
    public Map<Long, Hint> hints(long now) {
        Map<Long, Hint> out = new LinkedHashMap<>();
        hints.forEach(
                (engine, hint) ->
                        out.put(
                                engine,
                                new Hint(hint.served, hint.ageNanos + now - hintedAt.get(engine))));
        return out;
    }

    @Override
    public String figures() {
        StringBuilder out = new StringBuilder("{\"words\":").append(number).append(",\"hints\":{");
        String between = "";
        for (Map.Entry<Long, Hint> each : hints(lastNow).entrySet()) {
            out.append(between)
                    .append('"')
                    .append(Long.toHexString(each.getKey()))
                    .append("\":{\"served\":")
                    .append(each.getValue().served())
                    .append(",\"age_ms\":")
                    .append(each.getValue().ageNanos() / 1_000_000)
                    .append('}');
            between = ",";
        }
        return out.append("}}").toString();
    }
}
