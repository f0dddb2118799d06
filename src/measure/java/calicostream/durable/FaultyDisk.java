// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A disk in memory that does what real ones do. What was not synced reaches it at a power cut in
 * any order, sector by sector and name by name; a failed sync leaves pages that can be read and are
 * never written; a lying one says yes and does nothing.
 */
final class FaultyDisk implements Disk {

    static final int SECTOR_BYTES = 32;

    /** The power is cut, or the process killed, in the middle of a call. */
    static final class SimulatedCrash extends RuntimeException {
        private static final long serialVersionUID = 1;

        SimulatedCrash(int call) {
            super("crash at disk call " + call, null, false, false);
        }
    }

    enum Fault {
        FULL,
        READ_ONLY,
        SYNC_FAILS,
        WRITE_FAILS,
        SLOW
    }

    /**
     * What all disks of one machine share: the count of calls, where they break, the seed and the
     * clock.
     */
    static final class SimulatedMachine {
        final Random random;
        int callCount;
        int crashAtCall = -1;
        int faultAtCall = -1;
        Fault fault;
        boolean isFaultInjected;
        long nowNanos;

        SimulatedMachine(long seed) {
            random = new Random(seed);
        }

        private boolean isCrashDue() {
            return ++callCount == crashAtCall;
        }

        private boolean shouldInject(Fault kind) {
            if (fault != kind || faultAtCall < 0 || callCount < faultAtCall || isFaultInjected)
                return false;
            isFaultInjected = true;
            return true;
        }
    }

    private static final class StoredFile {
        byte[] cachedBytes = new byte[0];
        byte[] durableBytes = new byte[0];
        BitSet dirtySectors = new BitSet();

        StoredFile copy() {
            StoredFile copy = new StoredFile();
            copy.cachedBytes = cachedBytes.clone();
            copy.durableBytes = durableBytes.clone();
            copy.dirtySectors = (BitSet) dirtySectors.clone();
            return copy;
        }

        /** Brings a sector to the disk; what lies between is blank until it comes too. */
        void persistSector(int sector, int upTo) {
            int from = sector * SECTOR_BYTES;
            int to = Math.min(upTo, Math.min(cachedBytes.length, from + SECTOR_BYTES));
            if (to <= from) return;
            if (durableBytes.length < to) durableBytes = Arrays.copyOf(durableBytes, to);
            System.arraycopy(cachedBytes, from, durableBytes, from, to - from);
        }
    }

    private final String place;
    private final SimulatedMachine machine;
    private TreeMap<String, StoredFile> directory = new TreeMap<>();
    private TreeMap<String, StoredFile> durableDirectory = new TreeMap<>();
    private final List<Consumer<TreeMap<String, StoredFile>>> unsyncedDirectoryChanges =
            new ArrayList<>();
    private boolean isLocked;

    /** Says yes to every sync and keeps nothing. */
    boolean isDroppingSyncs;

    boolean isReadOnly;
    boolean isFull;

    FaultyDisk(String place, SimulatedMachine power) {
        this.place = place;
        this.machine = power;
    }

    @Override
    public String location() {
        return place;
    }

    @Override
    public void lock() throws DurableException {
        if (isLocked) throw new DurableException.DirectoryInUse(place + " is in use");
        isLocked = true;
    }

    private void countCall() {
        if (machine.isCrashDue()) throw new SimulatedCrash(machine.callCount);
    }

    @Override
    public List<String> list() {
        countCall();
        return List.copyOf(directory.keySet());
    }

    @Override
    public byte[] read(String name) throws DurableException {
        countCall();
        StoredFile file = directory.get(name);
        if (file == null) throw new DurableException.FileMissing(place + "/" + name);
        return file.cachedBytes.clone();
    }

    private void checkWritable(String what) throws DurableException {
        if (machine.shouldInject(Fault.READ_ONLY)) isReadOnly = true;
        if (isReadOnly) throw new DurableException.ReadOnlyFileSystem(place + ": " + what, null);
        if (machine.shouldInject(Fault.WRITE_FAILS))
            throw new DurableException.DiskFailed(place + ": " + what, null);
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws DurableException {
        boolean crash = machine.isCrashDue();
        checkWritable("append to " + name);
        if (machine.shouldInject(Fault.FULL)) isFull = true;
        int length =
                crash || isFull ? machine.random.nextInt(bytes.remaining() + 1) : bytes.remaining();
        StoredFile file = directory.get(name);
        if (file == null) {
            file = new StoredFile();
            StoredFile made = file;
            changeDirectory(folder -> folder.put(name, made));
        }
        int at = file.cachedBytes.length;
        file.cachedBytes = Arrays.copyOf(file.cachedBytes, at + length);
        bytes.get(file.cachedBytes, at, length);
        if (length > 0)
            file.dirtySectors.set(at / SECTOR_BYTES, (at + length - 1) / SECTOR_BYTES + 1);
        if (crash) throw new SimulatedCrash(machine.callCount);
        if (isFull) throw new DurableException.DiskFull(place + ": append to " + name, null);
    }

    private void changeDirectory(Consumer<TreeMap<String, StoredFile>> change) {
        change.accept(directory);
        unsyncedDirectoryChanges.add(change);
    }

    @Override
    public void sync(String name) throws DurableException {
        countCall();
        if (machine.shouldInject(Fault.SLOW)) machine.nowNanos += 3_000_000_000L;
        StoredFile file = directory.get(name);
        if (file == null) throw new DurableException.FileMissing(place + "/" + name);
        if (machine.shouldInject(Fault.SYNC_FAILS)) {
            file.dirtySectors.clear();
            throw new DurableException.SyncFailed(place + ": sync of " + name, null);
        }
        if (isDroppingSyncs) return;
        for (int sector = file.dirtySectors.nextSetBit(0);
                sector >= 0;
                sector = file.dirtySectors.nextSetBit(sector + 1))
            file.persistSector(sector, Integer.MAX_VALUE);
        file.dirtySectors.clear();
    }

    @Override
    public void syncDirectory() throws DurableException {
        countCall();
        if (isDroppingSyncs) return;
        durableDirectory = new TreeMap<>(directory);
        unsyncedDirectoryChanges.clear();
    }

    @Override
    public void rename(String from, String to) throws DurableException {
        countCall();
        checkWritable("rename " + from);
        StoredFile file = directory.get(from);
        if (file == null) throw new DurableException.FileMissing(place + "/" + from);
        changeDirectory(
                folder -> {
                    folder.remove(from);
                    folder.put(to, file);
                });
    }

    @Override
    public void delete(String name) throws DurableException {
        countCall();
        checkWritable("delete " + name);
        if (directory.containsKey(name)) changeDirectory(folder -> folder.remove(name));
    }

    @Override
    public void close() {
        isLocked = false;
    }

    /**
     * The power was cut: of what was not synced, a part drawn at random is there. {@code kind} 0
     * keeps nothing, 1 all, else some.
     */
    void cutPower(int kind) {
        for (Consumer<TreeMap<String, StoredFile>> change : unsyncedDirectoryChanges)
            if (survivesPowerCut(kind)) change.accept(durableDirectory);
        unsyncedDirectoryChanges.clear();
        directory = durableDirectory;
        durableDirectory = new TreeMap<>(directory);
        for (StoredFile file : directory.values()) {
            int upTo =
                    kind == 1
                            ? file.cachedBytes.length
                            : file.durableBytes.length
                                    + machine.random.nextInt(
                                            Math.max(
                                                    1,
                                                    file.cachedBytes.length
                                                            - file.durableBytes.length
                                                            + 1));
            for (int sector = file.dirtySectors.nextSetBit(0);
                    sector >= 0;
                    sector = file.dirtySectors.nextSetBit(sector + 1))
                if (survivesPowerCut(kind)) file.persistSector(sector, upTo);
            file.cachedBytes = file.durableBytes.clone();
            file.dirtySectors.clear();
        }
        isLocked = false;
        isDroppingSyncs = isReadOnly = isFull = false;
    }

    private boolean survivesPowerCut(int kind) {
        return kind == 1 || kind != 0 && machine.random.nextBoolean();
    }

    /** The process was killed and the system lives: all that was written can still be read. */
    void killProcess() {
        isLocked = false;
    }

    /** All files as they are, for {@link #restore}. */
    FaultyDisk copy() {
        FaultyDisk copy = new FaultyDisk(place, machine);
        directory.forEach((name, file) -> copy.directory.put(name, file.copy()));
        copy.durableDirectory = new TreeMap<>(copy.directory);
        return copy;
    }

    /** An operator puts a copy in place of the folder. */
    void restore(FaultyDisk older) {
        FaultyDisk copy = older.copy();
        directory = copy.directory;
        durableDirectory = copy.durableDirectory;
        unsyncedDirectoryChanges.clear();
        isLocked = false;
    }

    /** Flips one bit. */
    boolean flipBit(String prefix, Random random) {
        List<String> files =
                directory.keySet().stream()
                        .filter(
                                name ->
                                        name.startsWith(prefix)
                                                && directory.get(name).cachedBytes.length > 0)
                        .toList();
        if (files.isEmpty()) return false;
        StoredFile file = directory.get(files.get(random.nextInt(files.size())));
        int at = random.nextInt(file.cachedBytes.length);
        file.cachedBytes[at] ^= (byte) (1 << random.nextInt(8));
        file.durableBytes = file.cachedBytes.clone();
        return true;
    }

    void removeFile(String name) {
        directory.remove(name);
        durableDirectory.remove(name);
    }

    void putFile(String name, byte[] bytes) {
        StoredFile file = new StoredFile();
        file.cachedBytes = bytes.clone();
        file.durableBytes = bytes.clone();
        directory.put(name, file);
        durableDirectory.put(name, file);
    }

    byte[] fileBytes(String name) {
        return directory.get(name).cachedBytes.clone();
    }

    List<String> fileNames() {
        return List.copyOf(directory.keySet());
    }
}
