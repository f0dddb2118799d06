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
 * A folder in memory; a crash keeps what was synced, and of each file a random part of what was
 * appended since.
 */
final class SimulatedDisk implements Disk {
    private static final class File {
        byte[] bytes = new byte[0];
        int length;
        int kept;
    }

    private final String place;
    private TreeMap<String, File> now = new TreeMap<>();
    private TreeMap<String, File> kept = new TreeMap<>();
    private boolean locked;

    /** Syncs are acknowledged and nothing is kept. */
    boolean ignoresSyncs;

    boolean isFailing;

    /**
     * The machine dies in the call of this number from now, before, amid or after what it does; 0
     * for never.
     */
    int callsUntilCrash;

    /** It died so: every call fails until {@link #crash}. */
    boolean isCrashed;

    private final Random amid = new Random(17);

    SimulatedDisk(String place) {
        this.place = place;
    }

    void crash(Random random) {
        locked = false;
        isFailing = false;
        isCrashed = false;
        callsUntilCrash = 0;
        if (ignoresSyncs || random.nextBoolean()) {
            now = new TreeMap<>(kept);
        }
        kept = new TreeMap<>(now);
        for (File file : now.values()) {
            file.length =
                    file.kept + (ignoresSyncs ? 0 : random.nextInt(file.length - file.kept + 1));
            file.kept = file.length;
        }
    }

    private void works() throws DurableException {
        if (isFailing) {
            throw new DurableException.SyncFailed(place + " fails", null);
        } else if (isCrashed) {
            throw died();
        }
    }

    private DurableException died() {
        return new DurableException.DiskFailed(place + " died", null);
    }

    private interface Call {
        /**
         * @param part of what it does, 0 to 1
         */
        void run(double part) throws DurableException;
    }

    private void call(Call call) throws DurableException {
        works();
        if (callsUntilCrash == 0 || --callsUntilCrash > 0) {
            call.run(1);
            return;
        }
        isCrashed = true;
        int when = amid.nextInt(3);
        if (when > 0) {
            call.run(when == 1 ? amid.nextDouble() : 1);
        }
        throw died();
    }

    /** All files as they can be read now. */
    SimulatedDisk copy() {
        SimulatedDisk copy = new SimulatedDisk(place);
        copy.replaceWith(this);
        return copy;
    }

    /** Puts a copy of the other's files in place of these. */
    void replaceWith(SimulatedDisk other) {
        now = new TreeMap<>();
        other.now.forEach(
                (name, file) -> {
                    File same = new File();
                    same.bytes = Arrays.copyOf(file.bytes, file.length);
                    same.length = same.kept = file.length;
                    now.put(name, same);
                });
        kept = new TreeMap<>(now);
    }

    /** Flips one bit of one file. */
    void flipBit(Random random) {
        List<File> files = now.values().stream().filter(file -> file.length > 0).toList();
        if (!files.isEmpty()) {
            File file = files.get(random.nextInt(files.size()));
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
        return new ArrayList<>(now.keySet());
    }

    @Override
    public byte[] read(String name) throws DurableException {
        File file = now.get(name);
        if (file == null) {
            throw new DurableException.FileMissing(place + "/" + name);
        }
        return Arrays.copyOf(file.bytes, file.length);
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws DurableException {
        call(
                part -> {
                    File file = now.computeIfAbsent(name, any -> new File());
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
                    File file = now.get(name);
                    if (file == null) {
                        throw new DurableException.FileMissing(place + "/" + name);
                    }
                    file.kept =
                            ignoresSyncs
                                    ? file.kept
                                    : file.kept + (int) ((file.length - file.kept) * part);
                });
    }

    @Override
    public void syncDirectory() throws DurableException {
        call(part -> kept = ignoresSyncs || part < 0.5 ? kept : new TreeMap<>(now));
    }

    @Override
    public void rename(String from, String to) throws DurableException {
        call(
                part -> {
                    if (part > 0.5) {
                        now.put(to, now.remove(from));
                    }
                });
    }

    @Override
    public void delete(String name) throws DurableException {
        call(
                part -> {
                    if (part > 0.5) {
                        now.remove(name);
                    }
                });
    }

    @Override
    public void close() {
        locked = false;
    }
}
