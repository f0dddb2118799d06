// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.durable.Disk;
import calicostream.durable.DurableException;
import calicostream.durable.FileDisk;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/**
 * Folders that fail as the file {@code fault} beside the member's {@code generation-N} says, looked at before each call:
 * {@code full}, {@code read-only}, {@code sync-fails}, {@code slow MILLISECONDS}; without it they are as always.
 */
public final class FaultyDisks implements Disks {
    static final String OPTION = "-D" + PROPERTY + "=" + FaultyDisks.class.getName();

    @Override
    public Disk open(Path folder) throws DurableException {
        return new Faulty(new FileDisk(folder), folder.resolveSibling("fault"));
    }

    private record Faulty(Disk disk, Path file) implements Disk {
        private String fault() {
            try {
                return Files.exists(file) ? Files.readString(file).strip() : "";
            } catch (IOException e) {
                return "";
            }
        }

        private void write() throws DurableException {
            switch (fault()) {
                case "full" -> throw new DurableException.Full("a test's disk", null);
                case "read-only" -> throw new DurableException.ReadOnly("a test's disk", null);
                default -> { }
            }
        }

        @Override
        public String place() {
            return disk.place();
        }

        @Override
        public void lock() throws DurableException {
            disk.lock();
        }

        @Override
        public List<String> list() throws DurableException {
            return disk.list();
        }

        @Override
        public byte[] read(String name) throws DurableException {
            return disk.read(name);
        }

        @Override
        public void append(String name, ByteBuffer bytes) throws DurableException {
            write();
            disk.append(name, bytes);
        }

        @Override
        public void sync(String name) throws DurableException {
            String fault = fault();
            if (fault.equals("sync-fails")) {
                throw new DurableException.SyncFailed("a test's disk", null);
            } else if (fault.startsWith("slow ")) {
                LockSupport.parkNanos(Long.parseLong(fault.substring(5)) * 1_000_000);
            }
            disk.sync(name);
        }

        @Override
        public void syncFolder() throws DurableException {
            disk.syncFolder();
        }

        @Override
        public void rename(String from, String to) throws DurableException {
            disk.rename(from, to);
        }

        @Override
        public void delete(String name) throws DurableException {
            disk.delete(name);
        }

        @Override
        public void close() {
            disk.close();
        }
    }
}
