// SPDX-License-Identifier: Apache-2.0
package calicostream.handover;

import calicostream.core.KeyOwnership;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the processes of one front end tell each other through the folder that they share: who is
 * the younger, who listens, and what the operators said of engines. Each writes its own slot of one
 * file and reads the others'. One thread uses an object; nothing that fails in here ends more than
 * the hand-over.
 */
public final class HotRestart {
    /** What the operators said last of an engine, and when, in Unix milliseconds. */
    public record EngineOverride(long changedAtUnixMillis, boolean disabled) {}

    private record Peer(long generation, boolean listening, long eventSequence, double[] learned) {}

    private static final Logger LOG = LoggerFactory.getLogger(HotRestart.class);
    private static final int VERSION = 1;
    private static final int MOST_WORDS = 1024;
    private static final long LONGEST_NAME = 256;
    private static final long REMEMBERED =
            60_000; // ms for which a call back is of use: longer than any warm-up
    private static final long AHEAD = 5_000; // ms that a word may seem to come from the future
    private static final double LONGEST_RUN =
            600e6; // us: what a query is said to run for longer is no run time
    private final Path path;
    private final BiConsumer<String, EngineOverride> heard;
    private final Map<String, EngineOverride> words = new HashMap<>();
    private final Peer[] peers = new Peer[ProcessSlotFile.SLOT_COUNT];
    private final long[] known = new long[ProcessSlotFile.SLOT_COUNT];
    private ProcessSlotFile file;
    private String trouble = "";
    private long generation = 1;
    private long seq;
    private boolean listening;
    private double[] publishLearnedRunTimes = {};

    /**
     * Without a folder there is nobody to tell. {@code heard} is told of words that came later than
     * all before.
     */
    public HotRestart(Path folder, String name, BiConsumer<String, EngineOverride> heard) {
        this.heard = heard;
        path =
                folder == null
                        ? null
                        : folder.resolve(
                                "calicostream-"
                                        + name.replaceAll("[^A-Za-z0-9.-]", "_")
                                        + ".handover");
    }

    /** Makes this process known as the youngest, and hears what the living ones know. */
    public void join() {
        if (path == null) {
            return;
        }
        try {
            file = new ProcessSlotFile(path);
        } catch (IOException e) {
            LOG.warn("no hand-over: {}", e.toString());
            return;
        }
        poll();
        generation = 1 + living().mapToLong(p -> p.generation).max().orElse(0);
        write();
    }

    /** How the processes of this front end share out keys, from {@link #join} on. */
    public KeyOwnership keyOwnership() {
        return file == null ? KeyOwnership.ALONE : new FileKeyOwnership(file);
    }

    private Stream<Peer> living() {
        return Arrays.stream(peers).filter(Objects::nonNull);
    }

    /** Two that started in the same moment take each other for as old as their slots say. */
    private boolean isElder(int slot) {
        Peer peer = peers[slot];
        return peer != null
                && (peer.generation < generation
                        || peer.generation == generation && slot < file.ownSlot());
    }

    private Stream<Peer> elders() {
        return IntStream.range(0, peers.length).filter(this::isElder).mapToObj(slot -> peers[slot]);
    }

    public boolean hasPredecessor() {
        return elders().findAny().isPresent();
    }

    /** Whether a younger process takes new clients. */
    public boolean hasSuccessor() {
        return IntStream.range(0, peers.length)
                .anyMatch(slot -> peers[slot] != null && !isElder(slot) && peers[slot].listening);
    }

    /** Processes that live, this one included, and its place among them, the oldest at 0. */
    public int processCount() {
        return 1 + (int) living().count();
    }

    public int rankByAge() {
        return (int) elders().count();
    }

    /** The last event of the change log that any other process has seen. */
    public long newestPeerEventSequence() {
        return living().mapToLong(p -> p.eventSequence).max().orElse(0);
    }

    public void publishListening(boolean now) {
        listening = now;
        write();
    }

    public void publishEventSequence(long event) {
        if (event != seq) {
            seq = event;
            write();
        }
    }

    /** What this process's module has learned; a process that starts reads it. */
    public void publishLearnedRunTimes(double[] values) {
        publishLearnedRunTimes = values;
        write();
    }

    /** What the elder's module had learned, empty where there is none. */
    public double[] predecessorRunTimes() {
        return elders().map(Peer::learned)
                .filter(values -> values.length > 0)
                .findFirst()
                .orElse(new double[0]);
    }

    /** An operator has said something new of an engine to this process. */
    public void publishEngineOverride(String engine, boolean out) {
        EngineOverride last = words.get(engine);
        long now = System.currentTimeMillis();
        words.values().removeIf(w -> !w.disabled && now - w.changedAtUnixMillis > REMEMBERED);
        if (words.size() < MOST_WORDS) {
            words.put(
                    engine,
                    new EngineOverride(
                            last == null ? now : Math.max(now, last.changedAtUnixMillis + 1), out));
            write();
        }
    }

    /** Reads what the others have written since the last look. */
    public void poll() {
        if (file == null) {
            return;
        }
        try {
            boolean[] alive = new boolean[peers.length];
            for (ProcessSlotFile.Slot slot : file.readOthers(known)) {
                alive[slot.number()] = true;
                if (slot.content() != null) {
                    known[slot.number()] = slot.writeNumber();
                    peers[slot.number()] = read(new String(slot.content(), StandardCharsets.UTF_8));
                }
            }
            for (int slot = 0; slot < peers.length; slot++) {
                peers[slot] = alive[slot] ? peers[slot] : null;
            }
        } catch (IOException e) {
            troubled(e);
        }
    }

    /** Ten looks a second must not write ten lines a second. */
    private void troubled(IOException e) {
        if (!trouble.equals(e.toString())) {
            trouble = e.toString();
            LOG.warn("hand-over: {}", trouble);
        }
    }

    /** Null where it is not what a process of this version writes: then nothing of it is used. */
    private Peer read(String text) {
        try {
            JsonObject root = Json.parse(text).asObject();
            if (root.getInt("version", 0) != VERSION) {
                return null;
            }
            Peer peer =
                    new Peer(
                            root.getLong("generation", 0),
                            root.getBoolean("listening", false),
                            root.getLong("seq", 0),
                            publishLearnedRunTimes(root.get("learned")));
            Map<String, EngineOverride> told = new HashMap<>();
            for (JsonObject.Member member : root.get("engines").asObject()) {
                JsonObject word = member.getValue().asObject();
                told.put(
                        member.getName(),
                        new EngineOverride(word.getLong("at", 0), word.getBoolean("out", false)));
            }
            told.forEach(this::hear);
            return peer;
        } catch (ParseException
                | UnsupportedOperationException
                | NumberFormatException
                | NullPointerException e) {
            LOG.warn("hand-over: a state that can't be read: {}", e.toString());
            return null;
        }
    }

    private static double[] publishLearnedRunTimes(JsonValue values) {
        double[] read = new double[values == null ? 0 : values.asArray().size()];
        for (int i = 0; i < read.length; i++) {
            double value = values.asArray().get(i).asDouble();
            read[i] = value > 0 && value < LONGEST_RUN ? value : 0;
        }
        return read;
    }

    private void hear(String engine, EngineOverride word) {
        EngineOverride last = words.get(engine);
        long now = System.currentTimeMillis();
        boolean useful = word.disabled || now - word.changedAtUnixMillis <= REMEMBERED;
        boolean credible =
                engine.length() <= LONGEST_NAME
                        && word.changedAtUnixMillis <= now + AHEAD
                        && words.size() < MOST_WORDS;
        if (useful
                && credible
                && (last == null || word.changedAtUnixMillis > last.changedAtUnixMillis)) {
            words.put(engine, word);
            heard.accept(engine, word);
        }
    }

    private void write() {
        if (file == null) {
            return;
        }
        JsonObject engines = Json.object();
        words.forEach(
                (name, word) ->
                        engines.add(
                                name,
                                Json.object()
                                        .add("at", word.changedAtUnixMillis)
                                        .add("out", word.disabled)));
        String text =
                Json.object()
                        .add("version", VERSION)
                        .add("generation", generation)
                        .add("listening", listening)
                        .add("seq", seq)
                        .add("learned", Json.array(publishLearnedRunTimes))
                        .add("engines", engines)
                        .toString();
        try {
            file.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) { // No room, most likely: the other process keeps what it knew.
            troubled(e);
        }
    }

    /** At the end of the process: its slot is free for the next one. */
    public void leave() {
        if (file != null) {
            try {
                file.close();
            } catch (IOException e) {
                LOG.debug("hand-over: {}", e.toString());
            }
            file = null;
            Arrays.fill(peers, null);
        }
    }
}
