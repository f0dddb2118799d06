// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.durable.Disk;
import calicostream.durable.DurableException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/**
 * A disk folder in memory. A crash keeps what was synced and, of each file, a random part of what
 * was appended since. Faults are injected by the fields and methods beside those of {@link Disk}.
 */
final class SimulatedDisk implements Disk {
    private static final class File {
        byte[] bytes = new byte[0];
        int length;
        int syncedLength;
    }

    private final String place;
    private TreeMap<String, File> files = new TreeMap<>();
    private TreeMap<String, File> synced = new TreeMap<>();
    private boolean locked;

    /** Syncs are acknowledged, but keep nothing. */
    boolean ignoresSyncs;

    boolean isFailing;

    /**
     * The process crashes in the call of this number from now: before, during or after its work; 0
     * for never.
     */
    int callsUntilCrash;

    /** It crashed that way: every call fails until {@link #crash}. */
    boolean isCrashed;

    private final Random crashRandom = new Random(17);

    SimulatedDisk(String place) {
        this.place = place;
    }

    void crash(Random random) {
        locked = false;
        isFailing = false;
        isCrashed = false;
        callsUntilCrash = 0;
        if (ignoresSyncs || random.nextBoolean()) {
            files = new TreeMap<>(synced);
        }
        synced = new TreeMap<>(files);
        for (File file : files.values()) {
            file.length =
                    file.syncedLength
                            + (ignoresSyncs
                                    ? 0
                                    : random.nextInt(file.length - file.syncedLength + 1));
            file.syncedLength = file.length;
        }
    }

    private void requireWorking() throws DurableException {
        if (isFailing) {
            throw new DurableException.SyncFailed(place + " fails", null);
        } else if (isCrashed) {
            throw crashFailure();
        }
    }

    private DurableException crashFailure() {
        return new DurableException.DiskFailed(place + " crashed", null);
    }

    private interface Call {
        /**
         * @param part of its work that is done, 0 to 1
         */
        void run(double part) throws DurableException;
    }

    private void call(Call call) throws DurableException {
        requireWorking();
        if (callsUntilCrash == 0 || --callsUntilCrash > 0) {
            call.run(1);
            return;
        }
        isCrashed = true;
        int when = crashRandom.nextInt(3);
        if (when > 0) {
            call.run(when == 1 ? crashRandom.nextDouble() : 1);
        }
        throw crashFailure();
    }

    /** Copies all files as they can be read now. */
    SimulatedDisk copy() {
        SimulatedDisk copy = new SimulatedDisk(place);
        copy.replaceWith(this);
        return copy;
    }

    /** Replaces the files by copies of those of another disk. */
    void replaceWith(SimulatedDisk other) {
        files = new TreeMap<>();
        other.files.forEach(
                (name, file) -> {
                    File same = new File();
                    same.bytes = Arrays.copyOf(file.bytes, file.length);
                    same.length = same.syncedLength = file.length;
                    files.put(name, same);
                });
        synced = new TreeMap<>(files);
    }

    /** Flips one bit of one file. */
    void flipBit(Random random) {
        List<File> written = files.values().stream().filter(file -> file.length > 0).toList();
        if (!written.isEmpty()) {
            File file = written.get(random.nextInt(written.size()));
            file.bytes[random.nextInt(file.length)] ^= (byte) (1 << random.nextInt(8));
        }
    }

    @Override
    public String location() {
        return place;
    }

    @Override
    public void lock() throws DurableException {
        if (locked) {
            throw new DurableException.DirectoryInUse(place);
        }
        locked = true;
    }

    @Override
    public List<String> list() {
        return new ArrayList<>(files.keySet());
    }

    @Override
    public byte[] read(String name) throws DurableException {
        File file = files.get(name);
        if (file == null) {
            throw new DurableException.FileMissing(place + "/" + name);
        }
        return Arrays.copyOf(file.bytes, file.length);
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws DurableException {
        call(
                part -> {
                    File file = files.computeIfAbsent(name, any -> new File());
                    int length = file.length + (int) (bytes.remaining() * part);
                    if (length > file.bytes.length) {
                        file.bytes = Arrays.copyOf(file.bytes, 2 * length);
                    }
                    bytes.get(file.bytes, file.length, length - file.length);
                    file.length = length;
                });
    }

    @Override
    public void sync(String name) throws DurableException {
        call(
                part -> {
                    File file = files.get(name);
                    if (file == null) {
                        throw new DurableException.FileMissing(place + "/" + name);
                    }
                    file.syncedLength =
                            ignoresSyncs
                                    ? file.syncedLength
                                    : file.syncedLength
                                            + (int) ((file.length - file.syncedLength) * part);
                });
    }

    @Override
    public void syncDirectory() throws DurableException {
        call(part -> synced = ignoresSyncs || part < 0.5 ? synced : new TreeMap<>(files));
    }

    @Override
    public void rename(String from, String to) throws DurableException {
        call(
                part -> {
                    if (part > 0.5) {
                        files.put(to, files.remove(from));
                    }
                });
    }

    @Override
    public void delete(String name) throws DurableException {
        call(
                part -> {
                    if (part > 0.5) {
                        files.remove(name);
                    }
                });
    }

    @Override
    public void close() {
        locked = false;
    }
}
