// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import calicostream.cluster.process.DiskProvider;
import calicostream.durable.Disk;
import calicostream.durable.DurableException;
import calicostream.durable.FileDisk;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.locks.LockSupport;

/**
 * A member's disks, in the member's own process, which fail or lie as the file says that {@link
 * #PROPERTY} names: its one line is a {@link Lie} and, for SLOW, milliseconds. The file is read at
 * each call, so that the rig switches it at any time. A folder whose path has {@link #HONEST} in it
 * is on another device, which has no faults. Only processes die here and never the machine, so that
 * nothing is forced to the real device: how long that takes is another matter than what is tested.
 */
public final class FaultInjectingDisks implements DiskProvider {
    static final String PROPERTY = "calicostream.rig.disk";
    static final String HONEST = "marks";

    /** What is wrong. */
    enum Lie {
        HONEST,
        /** A sync takes so long. */
        SLOW,
        FULL,
        READ_ONLY,
        /** Each sync fails and says so. */
        FAILS,
        /**
         * Nothing is written any more, and each sync says that it was: all of it is gone with the
         * process.
         */
        FORGETS
    }

    private record Now(Lie lie, long amount) {}

    @Override
    public Disk open(Path folder) throws DurableException {
        Disk real = new FileDisk(folder);
        return new Lying(
                real,
                folder.toString().contains(HONEST) ? null : Path.of(System.getProperty(PROPERTY)));
    }

    /** Both files of a name: what the disk has, and behind it what it only says that it has. */
    private static final class Lying implements Disk {
        private final Disk real;
        private final Path control;
        private final Map<String, byte[]> forgotten = new LinkedHashMap<>();

        Lying(Disk real, Path control) {
            this.real = real;
            this.control = control;
        }

        private Now now() {
            if (control == null) {
                return new Now(Lie.HONEST, 0);
            }
            try {
                String[] words = Files.readString(control).trim().split(" ");
                return words[0].isEmpty()
                        ? new Now(Lie.HONEST, 0)
                        : new Now(
                                Lie.valueOf(words[0]),
                                words.length > 1 ? Long.parseLong(words[1]) : 0);
            } catch (IOException e) {
                throw new UncheckedIOException("the rig wrote no word for the disk", e);
            }
        }

        private void write() throws DurableException {
            switch (now().lie) {
                case FULL ->
                        throw new DurableException.DiskFull(
                                location(), new IOException("no space left, says the rig"));
                case READ_ONLY ->
                        throw new DurableException.ReadOnlyFileSystem(
                                location(), new IOException("read-only, says the rig"));
                default -> {}
            }
        }

        @Override
        public String location() {
            return real.location();
        }

        @Override
        public void lock() throws DurableException {
            real.lock();
        }

        @Override
        public List<String> list() throws DurableException {
            TreeSet<String> out = new TreeSet<>(real.list());
            out.addAll(forgotten.keySet());
            return List.copyOf(out);
        }

        @Override
        public byte[] read(String name) throws DurableException {
            byte[] lies = forgotten.get(name);
            if (lies == null) {
                return real.read(name);
            }
            byte[] kept = real.list().contains(name) ? real.read(name) : new byte[0];
            byte[] out = Arrays.copyOf(kept, kept.length + lies.length);
            System.arraycopy(lies, 0, out, kept.length, lies.length);
            return out;
        }

        @Override
        public void append(String name, ByteBuffer bytes) throws DurableException {
            write();
            if (now().lie != Lie.FORGETS) {
                real.append(name, bytes);
                return;
            }
            byte[] before = forgotten.getOrDefault(name, new byte[0]);
            byte[] after = Arrays.copyOf(before, before.length + bytes.remaining());
            bytes.get(after, before.length, bytes.remaining());
            forgotten.put(name, after);
        }

        @Override
        public void sync(String name) throws DurableException {
            write();
            Now now = now();
            if (now.lie == Lie.SLOW) {
                LockSupport.parkNanos(now.amount * 1_000_000);
            }
            if (now.lie == Lie.FAILS) {
                throw new DurableException.SyncFailed(
                        name, new IOException("input/output error, says the rig"));
            }
        }

        @Override
        public void syncDirectory() throws DurableException {
            write();
        }

        @Override
        public void rename(String from, String to) throws DurableException {
            write();
            if (!forgotten.containsKey(from)) {
                forgotten.remove(to);
                real.rename(from, to);
                return;
            }
            byte[] whole = read(from);
            delete(from);
            real.delete(to); // What a disk forgets it may as well have lost under both names.
            forgotten.put(to, whole);
        }

        @Override
        public void delete(String name) throws DurableException {
            forgotten.remove(name);
            real.delete(name);
        }

        @Override
        public void close() {
            real.close();
        }
    }
}
