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

/** A folder in memory; a crash keeps what was synced, and of each file a random part of what was appended since. */
final class SimDisk implements Disk {
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
    boolean lies;
    boolean fails;

    SimDisk(String place) {
        this.place = place;
    }

    void crash(Random random) {
        locked = false;
        fails = false;
        if (lies || random.nextBoolean()) {
            now = new TreeMap<>(kept);
        }
        kept = new TreeMap<>(now);
        for (File file : now.values()) {
            file.length = file.kept + (lies ? 0 : random.nextInt(file.length - file.kept + 1));
            file.kept = file.length;
        }
    }

    private void works() throws DurableException {
        if (fails) {
            throw new DurableException.SyncFailed(place + " fails", null);
        }
    }

    @Override
    public String place() {
        return place;
    }

    @Override
    public void lock() throws DurableException {
        if (locked) {
            throw new DurableException.InUse(place);
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
            throw new DurableException.Missing(place + "/" + name);
        }
        return Arrays.copyOf(file.bytes, file.length);
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws DurableException {
        works();
        File file = now.computeIfAbsent(name, any -> new File());
        int length = file.length + bytes.remaining();
        if (length > file.bytes.length) {
            file.bytes = Arrays.copyOf(file.bytes, 2 * length);
        }
        bytes.get(file.bytes, file.length, length - file.length);
        file.length = length;
    }

    @Override
    public void sync(String name) throws DurableException {
        works();
        File file = now.get(name);
        if (file == null) {
            throw new DurableException.Missing(place + "/" + name);
        }
        file.kept = lies ? file.kept : file.length;
    }

    @Override
    public void syncFolder() throws DurableException {
        works();
        kept = lies ? kept : new TreeMap<>(now);
    }

    @Override
    public void rename(String from, String to) throws DurableException {
        works();
        now.put(to, now.remove(from));
    }

    @Override
    public void delete(String name) throws DurableException {
        works();
        now.remove(name);
    }

    @Override
    public void close() {
        locked = false;
    }
}
