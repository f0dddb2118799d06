// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

import calicostream.core.KeyOwnership;
import calicostream.core.PeerRequestIds;
import calicostream.net.InvalidInputException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shares state between the processes of one server while a new process replaces an old one: which
 * process is the younger, which listens, what each has learned, and which engines the operators
 * have disabled. Each process writes its own slot of one file in a shared folder and reads the
 * others'. One thread uses an object. A failure of the file is logged and leaves this process
 * without news of the others; it is never thrown.
 */
public final class HotRestart {
    private static final Logger LOG = LoggerFactory.getLogger(HotRestart.class);

    private final Path path;
    private final BiConsumer<String, EngineOverride> overrideListener;
    private final EngineOverrideTable overrides = new EngineOverrideTable();

    /** The state of each other living process, by its slot; null where there is none. */
    private final PeerState[] peers = new PeerState[ProcessSlotFile.SLOT_COUNT];

    /** The number of the write last read from each slot. */
    private final long[] readWriteNumbers = new long[ProcessSlotFile.SLOT_COUNT];

    private final long processId = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    private ProcessSlotFile file;
    private SharedRequestIds requestIds;

    /** The processes to which this process's request ids are known. */
    private Set<Long> idReaders = Set.of();

    private String lastFailure = "";
    private long generation = 1;
    private long eventSequence;
    private boolean listening;
    private double[] learnedRunTimes = {};

    /**
     * Creates the state of a process that has not joined yet.
     *
     * @param folder the folder that all processes of the server share, or null for none
     * @param serverName the server's name; processes of the same name find each other
     * @param overrideListener notified of commands that another process accepted, later than all
     *     known ones for the engine, with the engine's id; called from {@link #join} and {@link
     *     #poll}
     */
    public HotRestart(
            Path folder, String serverName, BiConsumer<String, EngineOverride> overrideListener) {
        this.overrideListener = overrideListener;
        path = folder == null ? null : folder.resolve(fileName(serverName));
    }

    private static String fileName(String serverName) {
        return "calicostream-" + serverName.replaceAll("[^A-Za-z0-9.-]", "_") + ".handover";
    }

    /** Registers this process as the youngest, after reading the state of the living ones. */
    public void join() {
        if (path == null) {
            return;
        }
        try {
            ProcessSlotFile opened = new ProcessSlotFile(path);
            requestIds = new SharedRequestIds(opened, System::currentTimeMillis);
            file = opened;
        } catch (IOException e) {
            LOG.warn("hot restart disabled: {}", e.toString());
            return;
        }
        poll();
        idReaders = peerProcessIds(); // It has no ids yet.
        generation = 1 + peers().mapToLong(PeerState::generation).max().orElse(0);
        publish();
    }

    /** Releases this process's slot; call it as the process ends. */
    public void leave() {
        if (file == null) {
            return;
        }
        try {
            file.close();
        } catch (IOException e) {
            LOG.debug("hot restart file not closed: {}", e.toString());
        }
        file = null;
        Arrays.fill(peers, null);
    }

    /**
     * The request ids of the living processes and of those that ended; as {@link #keyOwnership}.
     */
    public PeerRequestIds requestIds() {
        return file == null ? PeerRequestIds.ALONE : requestIds;
    }

    /**
     * Makes the ids of this process's requests known to processes that have joined since the last
     * call; call it after {@link #poll}.
     *
     * @param publishUnrepeatableIds passes the unrepeatable ids to {@link #requestIds}
     */
    public void shareRequestIds(Runnable publishUnrepeatableIds) {
        Set<Long> living = peerProcessIds();
        if (file == null || living.equals(idReaders)) {
            return;
        }
        if (!idReaders.containsAll(living)) {
            requestIds.publishOpen();
            publishUnrepeatableIds.run();
        }
        idReaders = living;
        publish();
    }

    /** Whether the ids of the older processes' requests are known to this process. */
    public boolean knowsRequestIdsOfPredecessors() {
        return predecessors()
                .filter(peer -> peer.processId() != 0)
                .allMatch(peer -> peer.idReaders().contains(processId));
    }

    private Set<Long> peerProcessIds() {
        return peers().map(PeerState::processId)
                .filter(id -> id != 0)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** How the living processes divide keys among them; valid from {@link #join} on. */
    public KeyOwnership keyOwnership() {
        return file == null ? KeyOwnership.ALONE : new FileKeyOwnership(file);
    }

    private Stream<PeerState> peers() {
        return Arrays.stream(peers).filter(Objects::nonNull);
    }

    /** Of two processes that started at the same moment, the one in the lower slot is the elder. */
    private boolean isPredecessor(int slot) {
        PeerState peer = peers[slot];
        if (peer == null) {
            return false;
        }
        return peer.generation() < generation
                || peer.generation() == generation && slot < file.ownSlot();
    }

    private boolean isListeningSuccessor(int slot) {
        return peers[slot] != null && !isPredecessor(slot) && peers[slot].listening();
    }

    private Stream<PeerState> predecessors() {
        return IntStream.range(0, peers.length)
                .filter(this::isPredecessor)
                .mapToObj(slot -> peers[slot]);
    }

    /** Whether an older process lives. */
    public boolean hasPredecessor() {
        return predecessors().findAny().isPresent();
    }

    /** Whether a younger process accepts new clients. */
    public boolean hasSuccessor() {
        return IntStream.range(0, peers.length).anyMatch(this::isListeningSuccessor);
    }

    /** How many processes live, this one included. */
    public int processCount() {
        return 1 + (int) peers().count();
    }

    /** This process's position among the living ones; the oldest has 0. */
    public int rankByAge() {
        return (int) predecessors().count();
    }

    /** The highest sequence number of a discovery event that any other process has applied. */
    public long newestPeerEventSequence() {
        return peers().mapToLong(PeerState::eventSequence).max().orElse(0);
    }

    /** The predecessor's learned run times in microseconds by query class; empty without any. */
    public double[] predecessorRunTimes() {
        return predecessors()
                .map(PeerState::learnedRunTimes)
                .filter(values -> values.length > 0)
                .findFirst()
                .orElse(new double[0]);
    }

    /** Publishes whether this process accepts new clients. */
    public void publishListening(boolean isListening) {
        listening = isListening;
        publish();
    }

    /** Publishes the sequence number of the last discovery event that this process applied. */
    public void publishEventSequence(long sequence) {
        if (sequence != eventSequence) {
            eventSequence = sequence;
            publish();
        }
    }

    /**
     * Publishes what this process has learned, for a process that starts.
     *
     * @param microsByClass run times in microseconds, one a query class; kept, not copied
     */
    public void publishLearnedRunTimes(double[] microsByClass) {
        learnedRunTimes = microsByClass;
        publish();
    }

    /** Publishes an operator's command for an engine that this process has accepted. */
    public void publishEngineOverride(String engine, boolean disabled) {
        if (overrides.record(engine, disabled, System.currentTimeMillis())) {
            publish();
        }
    }

    /** Reads what the other processes have published since the last call. */
    public void poll() {
        if (file == null) {
            return;
        }
        try {
            boolean[] alive = new boolean[peers.length];
            for (ProcessSlotFile.Slot slot : file.readOthers(readWriteNumbers)) {
                alive[slot.number()] = true;
                if (slot.content() != null) {
                    readWriteNumbers[slot.number()] = slot.writeNumber();
                    peers[slot.number()] = read(slot.content());
                }
            }
            for (int slot = 0; slot < peers.length; slot++) {
                peers[slot] = alive[slot] ? peers[slot] : null;
            }
            requestIds.setHasPeers(processCount() > 1);
        } catch (IOException e) {
            logOnce(e);
        }
    }

    /** Null where a process of another version wrote it, or it is damaged: none of it is used. */
    private PeerState read(byte[] content) {
        try {
            PeerState state = PeerStateCodec.decode(content).orElse(null);
            if (state != null) {
                state.overrides().forEach(this::merge);
            }
            return state;
        } catch (InvalidInputException e) {
            LOG.warn("unreadable state of another process: {}", e.getMessage());
            return null;
        }
    }

    private void merge(String engine, EngineOverride override) {
        if (overrides.merge(engine, override, System.currentTimeMillis())) {
            overrideListener.accept(engine, override);
        }
    }

    private void publish() {
        if (file == null) {
            return;
        }
        PeerState own =
                new PeerState(
                        processId,
                        idReaders,
                        generation,
                        listening,
                        eventSequence,
                        learnedRunTimes,
                        overrides.asMap());
        try {
            file.write(PeerStateCodec.encode(own));
        } catch (IOException e) { // A full disk, most likely: the others keep the last state.
            logOnce(e);
        }
    }

    /** The file is polled ten times a second: a failure that lasts is logged once. */
    private void logOnce(IOException failure) {
        if (!lastFailure.equals(failure.toString())) {
            lastFailure = failure.toString();
            LOG.warn("hot restart file failed: {}", lastFailure);
        }
    }
}
