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
 * A disk in memory that behaves as real ones do. At a power cut, what was not synced reaches it in
 * any order, sector by sector and file name by file name; a failed sync leaves pages that can be
 * read and are never written; a disk that drops syncs reports success and does nothing.
 */
final class FaultyDisk implements Disk {
    private static final int SECTOR_BYTES = 32;
    private static final long SLOW_SYNC_NANOS = 3_000_000_000L;

    /** The power is cut, or the process killed, in the middle of a call. */
    static final class SimulatedCrash extends RuntimeException {
        private static final long serialVersionUID = 1L;

        SimulatedCrash(int call) {
            super("crash at disk call " + call, null, false, false);
        }
    }

    /** Faults that a call reports. */
    enum Fault {
        FULL,
        READ_ONLY,
        SYNC_FAILS,
        WRITE_FAILS,
        SLOW
    }

    /** What survives a power cut of all that was not synced. */
    enum PowerCut {
        KEEPS_NOTHING,
        KEEPS_ALL,
        KEEPS_RANDOM_PART
    }

    /**
     * What all disks of one machine share: the count of calls, where a crash or fault occurs, the
     * random numbers and the clock.
     */
    static final class SimulatedMachine {
        final Random random;
        int callCount;
        int crashAtCall = -1;
        int faultAtCall = -1;
        Fault fault;
        long nowNanos;
        private boolean isFaultInjected;

        SimulatedMachine(long seed) {
            random = new Random(seed);
        }

        /** Counts a call. */
        private boolean isCrashDue() {
            callCount++;
            return callCount == crashAtCall;
        }

        /** Whether this call is to fail so; a fault is injected once. */
        private boolean shouldInject(Fault kind) {
            boolean isDue = fault == kind && faultAtCall >= 0 && callCount >= faultAtCall;
            if (!isDue || isFaultInjected) {
                return false;
            }
            isFaultInjected = true;
            return true;
        }
    }

    private static final class StoredFile {
        private byte[] cachedBytes = new byte[0];
        private byte[] durableBytes = new byte[0];
        private BitSet dirtySectors = new BitSet();

        private StoredFile copy() {
            StoredFile copy = new StoredFile();
            copy.cachedBytes = cachedBytes.clone();
            copy.durableBytes = durableBytes.clone();
            copy.dirtySectors = (BitSet) dirtySectors.clone();
            return copy;
        }

        private void append(ByteBuffer bytes, int length) {
            int offset = cachedBytes.length;
            cachedBytes = Arrays.copyOf(cachedBytes, offset + length);
            bytes.get(cachedBytes, offset, length);
            if (length > 0) {
                int lastSector = (offset + length - 1) / SECTOR_BYTES;
                dirtySectors.set(offset / SECTOR_BYTES, lastSector + 1);
            }
        }

        private void sync() {
            for (int sector = dirtySectors.nextSetBit(0);
                    sector >= 0;
                    sector = dirtySectors.nextSetBit(sector + 1)) {
                persistSector(sector, Integer.MAX_VALUE);
            }
            dirtySectors.clear();
        }

        /** Writes a sector to the disk; sectors before it read as zeroes until they are written. */
        private void persistSector(int sector, int maxOffset) {
            int from = sector * SECTOR_BYTES;
            int to = Math.min(maxOffset, Math.min(cachedBytes.length, from + SECTOR_BYTES));
            if (to <= from) {
                return;
            }
            if (durableBytes.length < to) {
                durableBytes = Arrays.copyOf(durableBytes, to);
            }
            System.arraycopy(cachedBytes, from, durableBytes, from, to - from);
        }

        /** The cache is lost. */
        private void revertToDurable() {
            cachedBytes = durableBytes.clone();
            dirtySectors.clear();
        }
    }

    private final String location;
    private final SimulatedMachine machine;
    private TreeMap<String, StoredFile> directory = new TreeMap<>();
    private TreeMap<String, StoredFile> durableDirectory = new TreeMap<>();
    private final List<Consumer<TreeMap<String, StoredFile>>> unsyncedDirectoryChanges =
            new ArrayList<>();
    private boolean isLocked;

    /** Every sync reports success and keeps nothing. */
    boolean isDroppingSyncs;

    private boolean isReadOnly;
    private boolean isFull;

    FaultyDisk(String location, SimulatedMachine machine) {
        this.location = location;
        this.machine = machine;
    }

    @Override
    public String location() {
        return location;
    }

    @Override
    public void lock() throws DurableException {
        if (isLocked) {
            throw new DurableException.DirectoryInUse(location + " is in use");
        }
        isLocked = true;
    }

    private void countCall() {
        if (machine.isCrashDue()) {
            throw new SimulatedCrash(machine.callCount);
        }
    }

    @Override
    public List<String> list() {
        countCall();
        return List.copyOf(directory.keySet());
    }

    @Override
    public byte[] read(String name) throws DurableException {
        countCall();
        return existingFile(name).cachedBytes.clone();
    }

    private StoredFile existingFile(String name) throws DurableException {
        StoredFile file = directory.get(name);
        if (file == null) {
            throw new DurableException.FileMissing(location + "/" + name);
        }
        return file;
    }

    private void checkWritable(String operation) throws DurableException {
        if (machine.shouldInject(Fault.READ_ONLY)) {
            isReadOnly = true;
        }
        if (isReadOnly) {
            throw new DurableException.ReadOnlyFileSystem(location + ": " + operation, null);
        }
        if (machine.shouldInject(Fault.WRITE_FAILS)) {
            throw new DurableException.DiskFailed(location + ": " + operation, null);
        }
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws DurableException {
        boolean isCrash = machine.isCrashDue();
        checkWritable("append to " + name);
        if (machine.shouldInject(Fault.FULL)) {
            isFull = true;
        }
        int length = bytes.remaining();
        if (isCrash || isFull) {
            length = machine.random.nextInt(bytes.remaining() + 1);
        }
        if (!directory.containsKey(name)) {
            StoredFile created = new StoredFile();
            changeDirectory(files -> files.put(name, created));
        }
        directory.get(name).append(bytes, length);
        if (isCrash) {
            throw new SimulatedCrash(machine.callCount);
        }
        if (isFull) {
            throw new DurableException.DiskFull(location + ": append to " + name, null);
        }
    }

    private void changeDirectory(Consumer<TreeMap<String, StoredFile>> change) {
        change.accept(directory);
        unsyncedDirectoryChanges.add(change);
    }

    @Override
    public void sync(String name) throws DurableException {
        countCall();
        if (machine.shouldInject(Fault.SLOW)) {
            machine.nowNanos += SLOW_SYNC_NANOS;
        }
        StoredFile file = existingFile(name);
        if (machine.shouldInject(Fault.SYNC_FAILS)) {
            file.dirtySectors.clear();
            throw new DurableException.SyncFailed(location + ": sync of " + name, null);
        }
        if (!isDroppingSyncs) {
            file.sync();
        }
    }

    @Override
    public void syncDirectory() throws DurableException {
        countCall();
        if (isDroppingSyncs) {
            return;
        }
        durableDirectory = new TreeMap<>(directory);
        unsyncedDirectoryChanges.clear();
    }

    @Override
    public void rename(String from, String to) throws DurableException {
        countCall();
        checkWritable("rename " + from);
        StoredFile file = existingFile(from);
        changeDirectory(
                files -> {
                    files.remove(from);
                    files.put(to, file);
                });
    }

    @Override
    public void delete(String name) throws DurableException {
        countCall();
        checkWritable("delete " + name);
        if (directory.containsKey(name)) {
            changeDirectory(files -> files.remove(name));
        }
    }

    @Override
    public void close() {
        isLocked = false;
    }

    /** The power was cut, and is back. */
    void cutPower(PowerCut powerCut) {
        for (Consumer<TreeMap<String, StoredFile>> change : unsyncedDirectoryChanges) {
            if (survives(powerCut)) {
                change.accept(durableDirectory);
            }
        }
        unsyncedDirectoryChanges.clear();
        directory = durableDirectory;
        durableDirectory = new TreeMap<>(directory);
        for (StoredFile file : directory.values()) {
            cutPower(file, powerCut);
        }
        isLocked = false;
        isDroppingSyncs = false;
        clearFaults();
    }

    private void cutPower(StoredFile file, PowerCut powerCut) {
        int maxOffset = file.cachedBytes.length;
        if (powerCut != PowerCut.KEEPS_ALL) {
            int unsyncedBytes = file.cachedBytes.length - file.durableBytes.length;
            maxOffset =
                    file.durableBytes.length
                            + machine.random.nextInt(Math.max(1, unsyncedBytes + 1));
        }
        for (int sector = file.dirtySectors.nextSetBit(0);
                sector >= 0;
                sector = file.dirtySectors.nextSetBit(sector + 1)) {
            if (survives(powerCut)) {
                file.persistSector(sector, maxOffset);
            }
        }
        file.revertToDurable();
    }

    private boolean survives(PowerCut powerCut) {
        return switch (powerCut) {
            case KEEPS_NOTHING -> false;
            case KEEPS_ALL -> true;
            case KEEPS_RANDOM_PART -> machine.random.nextBoolean();
        };
    }

    /** There is space again, and writes are accepted. */
    void clearFaults() {
        isReadOnly = false;
        isFull = false;
    }

    /** The process was killed and the system lives: all that was written can still be read. */
    void killProcess() {
        isLocked = false;
    }

    /** All files as they are, for {@link #restore}. */
    FaultyDisk copy() {
        FaultyDisk copy = new FaultyDisk(location, machine);
        directory.forEach((name, file) -> copy.directory.put(name, file.copy()));
        copy.durableDirectory = new TreeMap<>(copy.directory);
        return copy;
    }

    /** An operator replaces the directory by a copy of another one. */
    void restore(FaultyDisk other) {
        FaultyDisk copy = other.copy();
        directory = copy.directory;
        durableDirectory = copy.durableDirectory;
        unsyncedDirectoryChanges.clear();
        isLocked = false;
    }

    /**
     * Flips one bit in one of the files whose names begin with {@code prefix}, if there are any.
     */
    void flipBit(String prefix, Random random) {
        List<StoredFile> files =
                directory.entrySet().stream()
                        .filter(named -> named.getKey().startsWith(prefix))
                        .map(named -> named.getValue())
                        .filter(file -> file.cachedBytes.length > 0)
                        .toList();
        if (files.isEmpty()) {
            return;
        }
        StoredFile file = files.get(random.nextInt(files.size()));
        int offset = random.nextInt(file.cachedBytes.length);
        file.cachedBytes[offset] ^= (byte) (1 << random.nextInt(Byte.SIZE));
        file.durableBytes = file.cachedBytes.clone();
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
