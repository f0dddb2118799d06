// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the processes of one front end tell each other through the folder that they share: who is the younger, who
 * listens, and what the operators said of engines. Each writes its own file and reads the others'. A process holds
 * a lock for as long as it lives, which tells it from one that was killed and left its files behind.
 */
final class Handover {
    /** What the operators said last of an engine, and when, in Unix milliseconds. */
    record Word(long at, boolean out) { }

    private record Peer(long generation, boolean listening, long seq, double[] learned) { }

    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);
    private static final int VERSION = 1;
    private static final int MOST_WORDS = 1024;
    private static final long LONGEST_FILE = 256 * 1024;
    private static final long LONGEST_NAME = 256;
    private static final long REMEMBERED = 60_000; // ms for which a call back is of use: longer than any warm-up
    private static final long AHEAD = 5_000; // ms that a word may seem to come from the future
    private static final double LONGEST_RUN = 600e6; // us: what a query is said to run for longer is no run time
    private static final String LOCK = ".lock";
    private static final String STATE = ".state";
    private final Path folder;
    private final String prefix;
    private final String own;
    private final BiConsumer<String, Word> heard;
    private final Map<String, Word> words = new HashMap<>();
    private Map<String, Peer> peers = Map.of();
    private FileChannel lock; // open for as long as the process lives
    private long generation = 1;
    private long seq;
    private boolean listening;
    private double[] learned = {};

    /** Without a folder there is nobody to tell. {@code heard} is told of words that came later than all before. */
    Handover(Path folder, String name, BiConsumer<String, Word> heard) {
        this.folder = folder;
        this.heard = heard;
        prefix = "calicostream-" + name.replaceAll("[^A-Za-z0-9.-]", "_") + "-";
        own = prefix + Long.toHexString(new SplittableRandom().nextLong());
    }

    /** Makes this process known as the youngest, and hears what the living ones know. */
    void join() {
        if (folder == null) {
            return;
        }
        look();
        generation = 1 + peers.values().stream().mapToLong(p -> p.generation).max().orElse(0);
        try {
            // Locked before it has its name, so that nobody finds it without its lock.
            Path made = folder.resolve(own + ".new");
            lock = FileChannel.open(made, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            lock.lock();
            Files.move(made, folder.resolve(own + LOCK), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            LOG.warn("no hand-over: {}", e.toString());
        }
        write();
    }

    boolean hasElder() {
        return peers.values().stream().anyMatch(p -> p.generation < generation);
    }

    /** Whether a younger process takes new clients. */
    boolean hasSuccessor() {
        return peers.values().stream().anyMatch(p -> p.generation > generation && p.listening);
    }

    /** Processes that live, this one included, and its place among them, the oldest at 0. */
    int processes() {
        return 1 + peers.size();
    }

    int place() {
        return (int) peers.values().stream().filter(p -> p.generation < generation).count();
    }

    /** The last event of the change log that any other process has seen. */
    long seen() {
        return peers.values().stream().mapToLong(p -> p.seq).max().orElse(0);
    }

    void listens(boolean now) {
        listening = now;
        write();
    }

    void saw(long event) {
        if (event != seq) {
            seq = event;
            write();
        }
    }

    /** What this process's module has learned; a process that starts reads it. */
    void learned(double[] values) {
        learned = values;
        write();
    }

    /** What the elder's module had learned, empty where there is none. */
    double[] before() {
        return peers.values().stream().filter(p -> p.generation < generation).map(Peer::learned)
                .filter(values -> values.length > 0).findFirst().orElse(new double[0]);
    }

    /** An operator has said something new of an engine to this process. */
    void say(String engine, boolean out) {
        Word last = words.get(engine);
        long now = System.currentTimeMillis();
        words.values().removeIf(w -> !w.out && now - w.at > REMEMBERED);
        if (words.size() < MOST_WORDS) {
            words.put(engine, new Word(last == null ? now : Math.max(now, last.at + 1), out));
            write();
        }
    }

    /** Reads the others' files, and clears away what the dead have left. */
    void look() {
        if (folder == null) {
            return;
        }
        Map<String, Peer> alive = new HashMap<>();
        for (Path lockFile : files(LOCK)) {
            String file = lockFile.getFileName().toString();
            String name = file.substring(0, file.length() - LOCK.length());
            Path state = folder.resolve(name + STATE);
            try {
                if (name.equals(own)) {
                    continue;
                }
                if (isHeld(lockFile)) {
                    Peer peer = Files.size(state) > LONGEST_FILE ? null : read(Files.readString(state));
                    if (peer != null) {
                        alive.put(name, peer);
                    }
                } else {
                    Files.deleteIfExists(state);
                    Files.deleteIfExists(lockFile);
                }
            } catch (IOException e) { // Not written yet, or gone meanwhile.
                LOG.debug("{}: {}", name, e.toString());
            }
        }
        peers = alive;
    }

    private List<Path> files(String ending) {
        List<Path> found = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, prefix + "*" + ending)) {
            all.forEach(found::add);
        } catch (IOException | java.nio.file.DirectoryIteratorException e) {
            LOG.warn("hand-over: {}", e.toString());
        }
        return found;
    }

    private static boolean isHeld(Path lockFile) throws IOException {
        try (FileChannel other = FileChannel.open(lockFile, StandardOpenOption.WRITE)) {
            return other.tryLock() == null;
        } catch (OverlappingFileLockException e) { // Held by this very process.
            return true;
        }
    }

    /** Null where it is not what a process of this version writes: then nothing of it is used. */
    private Peer read(String text) {
        try {
            JsonObject root = Json.parse(text).asObject();
            if (root.getInt("version", 0) != VERSION) {
                return null;
            }
            Peer peer = new Peer(root.getLong("generation", 0), root.getBoolean("listening", false),
                    root.getLong("seq", 0), learned(root.get("learned")));
            Map<String, Word> told = new HashMap<>();
            for (JsonObject.Member member : root.get("engines").asObject()) {
                JsonObject word = member.getValue().asObject();
                told.put(member.getName(), new Word(word.getLong("at", 0), word.getBoolean("out", false)));
            }
            told.forEach(this::hear);
            return peer;
        } catch (ParseException | UnsupportedOperationException | NumberFormatException | NullPointerException e) {
            LOG.warn("hand-over: a state that can't be read: {}", e.toString());
            return null;
        }
    }

    private static double[] learned(JsonValue values) {
        double[] read = new double[values == null ? 0 : values.asArray().size()];
        for (int i = 0; i < read.length; i++) {
            double value = values.asArray().get(i).asDouble();
            read[i] = value > 0 && value < LONGEST_RUN ? value : 0;
        }
        return read;
    }

    private void hear(String engine, Word word) {
        Word last = words.get(engine);
        long now = System.currentTimeMillis();
        boolean useful = word.out || now - word.at <= REMEMBERED;
        boolean credible = engine.length() <= LONGEST_NAME && word.at <= now + AHEAD && words.size() < MOST_WORDS;
        if (useful && credible && (last == null || word.at > last.at)) {
            words.put(engine, word);
            heard.accept(engine, word);
        }
    }

    private void write() {
        if (lock == null) {
            return;
        }
        JsonObject engines = Json.object();
        words.forEach((name, word) -> engines.add(name, Json.object().add("at", word.at).add("out", word.out)));
        String text = Json.object().add("version", VERSION).add("generation", generation).add("listening", listening)
                .add("seq", seq).add("learned", Json.array(learned)).add("engines", engines).toString();
        try {
            Path made = Files.writeString(folder.resolve(own + ".new"), text);
            Files.move(made, folder.resolve(own + STATE), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) { // No room, most likely: the other process keeps what it knew.
            LOG.warn("hand-over: {}", e.toString());
        }
    }

    /** At the end of the process: what it leaves would only be cleared away by the next one. */
    void leave() {
        if (lock == null) {
            return;
        }
        try {
            Files.deleteIfExists(folder.resolve(own + STATE));
            Files.deleteIfExists(folder.resolve(own + LOCK));
            lock.close();
        } catch (IOException e) {
            LOG.debug("hand-over: {}", e.toString());
        }
        lock = null;
    }
}
