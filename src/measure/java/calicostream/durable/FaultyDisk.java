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

    static final int SECTOR = 32;

    /** The power is cut, or the process killed, in the middle of a call. */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1;

        Crash(int call) {
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
    static final class Power {
        final Random random;
        int calls;
        int crashAt = -1;
        int faultAt = -1;
        Fault fault;
        boolean faulted;
        long now;

        Power(long seed) {
            random = new Random(seed);
        }

        private boolean isCrash() {
            return ++calls == crashAt;
        }

        private boolean is(Fault kind) {
            if (fault != kind || faultAt < 0 || calls < faultAt || faulted) return false;
            faulted = true;
            return true;
        }
    }

    private static final class File {
        byte[] now = new byte[0];
        byte[] kept = new byte[0];
        BitSet dirty = new BitSet();

        File copy() {
            File copy = new File();
            copy.now = now.clone();
            copy.kept = kept.clone();
            copy.dirty = (BitSet) dirty.clone();
            return copy;
        }

        /** Brings a sector to the disk; what lies between is blank until it comes too. */
        void keep(int sector, int upTo) {
            int from = sector * SECTOR;
            int to = Math.min(upTo, Math.min(now.length, from + SECTOR));
            if (to <= from) return;
            if (kept.length < to) kept = Arrays.copyOf(kept, to);
            System.arraycopy(now, from, kept, from, to - from);
        }
    }

    private final String place;
    private final Power power;
    private TreeMap<String, File> names = new TreeMap<>();
    private TreeMap<String, File> keptNames = new TreeMap<>();
    private final List<Consumer<TreeMap<String, File>>> changes = new ArrayList<>();
    private boolean locked;

    /** Says yes to every sync and keeps nothing. */
    boolean losing;

    boolean readOnly;
    boolean full;

    FaultyDisk(String place, Power power) {
        this.place = place;
        this.power = power;
    }

    @Override
    public String place() {
        return place;
    }

    @Override
    public void lock() throws DurableException {
        if (locked) throw new DurableException.InUse(place + " is in use");
        locked = true;
    }

    private void step() {
        if (power.isCrash()) throw new Crash(power.calls);
    }

    @Override
    public List<String> list() {
        step();
        return List.copyOf(names.keySet());
    }

    @Override
    public byte[] read(String name) throws DurableException {
        step();
        File file = names.get(name);
        if (file == null) throw new DurableException.Missing(place + "/" + name);
        return file.now.clone();
    }

    private void writable(String what) throws DurableException {
        if (power.is(Fault.READ_ONLY)) readOnly = true;
        if (readOnly) throw new DurableException.ReadOnly(place + ": " + what, null);
        if (power.is(Fault.WRITE_FAILS))
            throw new DurableException.Failed(place + ": " + what, null);
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws DurableException {
        boolean crash = power.isCrash();
        writable("append to " + name);
        if (power.is(Fault.FULL)) full = true;
        int length =
                crash || full ? power.random.nextInt(bytes.remaining() + 1) : bytes.remaining();
        File file = names.get(name);
        if (file == null) {
            file = new File();
            File made = file;
            change(folder -> folder.put(name, made));
        }
        int at = file.now.length;
        file.now = Arrays.copyOf(file.now, at + length);
        bytes.get(file.now, at, length);
        if (length > 0) file.dirty.set(at / SECTOR, (at + length - 1) / SECTOR + 1);
        if (crash) throw new Crash(power.calls);
        if (full) throw new DurableException.Full(place + ": append to " + name, null);
    }

    private void change(Consumer<TreeMap<String, File>> change) {
        change.accept(names);
        changes.add(change);
    }

    @Override
    public void sync(String name) throws DurableException {
        step();
        if (power.is(Fault.SLOW)) power.now += 3_000_000_000L;
        File file = names.get(name);
        if (file == null) throw new DurableException.Missing(place + "/" + name);
        if (power.is(Fault.SYNC_FAILS)) {
            file.dirty.clear();
            throw new DurableException.SyncFailed(place + ": sync of " + name, null);
        }
        if (losing) return;
        for (int sector = file.dirty.nextSetBit(0);
                sector >= 0;
                sector = file.dirty.nextSetBit(sector + 1)) file.keep(sector, Integer.MAX_VALUE);
        file.dirty.clear();
    }

    @Override
    public void syncFolder() throws DurableException {
        step();
        if (losing) return;
        keptNames = new TreeMap<>(names);
        changes.clear();
    }

    @Override
    public void rename(String from, String to) throws DurableException {
        step();
        writable("rename " + from);
        File file = names.get(from);
        if (file == null) throw new DurableException.Missing(place + "/" + from);
        change(
                folder -> {
                    folder.remove(from);
                    folder.put(to, file);
                });
    }

    @Override
    public void delete(String name) throws DurableException {
        step();
        writable("delete " + name);
        if (names.containsKey(name)) change(folder -> folder.remove(name));
    }

    @Override
    public void close() {
        locked = false;
    }

    /**
     * The power was cut: of what was not synced, a part drawn at random is there. {@code kind} 0
     * keeps nothing, 1 all, else some.
     */
    void cut(int kind) {
        for (Consumer<TreeMap<String, File>> change : changes)
            if (isKept(kind)) change.accept(keptNames);
        changes.clear();
        names = keptNames;
        keptNames = new TreeMap<>(names);
        for (File file : names.values()) {
            int upTo =
                    kind == 1
                            ? file.now.length
                            : file.kept.length
                                    + power.random.nextInt(
                                            Math.max(1, file.now.length - file.kept.length + 1));
            for (int sector = file.dirty.nextSetBit(0);
                    sector >= 0;
                    sector = file.dirty.nextSetBit(sector + 1))
                if (isKept(kind)) file.keep(sector, upTo);
            file.now = file.kept.clone();
            file.dirty.clear();
        }
        locked = false;
        losing = readOnly = full = false;
    }

    private boolean isKept(int kind) {
        return kind == 1 || kind != 0 && power.random.nextBoolean();
    }

    /** The process was killed and the system lives: all that was written can still be read. */
    void killed() {
        locked = false;
    }

    /** All files as they are, for {@link #restore}. */
    FaultyDisk copy() {
        FaultyDisk copy = new FaultyDisk(place, power);
        names.forEach((name, file) -> copy.names.put(name, file.copy()));
        copy.keptNames = new TreeMap<>(copy.names);
        return copy;
    }

    /** An operator puts a copy in place of the folder. */
    void restore(FaultyDisk older) {
        FaultyDisk copy = older.copy();
        names = copy.names;
        keptNames = copy.keptNames;
        changes.clear();
        locked = false;
    }

    /** Flips one bit. */
    boolean rot(String prefix, Random random) {
        List<String> files =
                names.keySet().stream()
                        .filter(name -> name.startsWith(prefix) && names.get(name).now.length > 0)
                        .toList();
        if (files.isEmpty()) return false;
        File file = names.get(files.get(random.nextInt(files.size())));
        int at = random.nextInt(file.now.length);
        file.now[at] ^= (byte) (1 << random.nextInt(8));
        file.kept = file.now.clone();
        return true;
    }

    void remove(String name) {
        names.remove(name);
        keptNames.remove(name);
    }

    void put(String name, byte[] bytes) {
        File file = new File();
        file.now = bytes.clone();
        file.kept = bytes.clone();
        names.put(name, file);
        keptNames.put(name, file);
    }

    byte[] bytes(String name) {
        return names.get(name).now.clone();
    }

    List<String> files() {
        return List.copyOf(names.keySet());
    }
}
