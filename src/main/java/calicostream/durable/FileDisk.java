// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.ReadOnlyFileSystemException;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * A folder of the file system as a {@link Disk}. The thread that calls it is not to be interrupted:
 * an interrupt closes the channel, which counts as a failed write. A folder that is not there is
 * made.
 */
public final class FileDisk implements Disk {

    private static final String LOCK = "lock";

    /** More than are ever written at once: segment, mark, and a new file of each kind. */
    private static final int OPEN = 6;

    /**
     * The kernel's lock is the process's, and lost when any channel to the file closes: folders of
     * this process are told apart here.
     */
    private static final Set<Path> TAKEN = new HashSet<>();

    private final Path folder;
    private final Map<String, FileChannel> channels = new LinkedHashMap<>(8, 0.75f, true);
    private Path taken;
    private FileChannel lockFile;

    public FileDisk(Path folder) throws DurableException {
        this.folder = folder;
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw named(e, "make the folder");
        }
    }

    @Override
    public String location() {
        return folder.toString();
    }

    @Override
    public void lock() throws DurableException {
        try {
            Path real = folder.toRealPath();
            synchronized (TAKEN) {
                if (!TAKEN.add(real))
                    throw new DurableException.DirectoryInUse(
                            folder + " is in use by this process already");
            }
            taken = real;
            lockFile =
                    FileChannel.open(
                            folder.resolve(LOCK),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.READ,
                            StandardOpenOption.WRITE);
            FileLock lock = lockFile.tryLock();
            if (lock == null) {
                String owner = owner();
                close();
                throw new DurableException.DirectoryInUse(folder + " is in use by " + owner);
            }
            ByteBuffer words =
                    ByteBuffer.wrap(
                            ("process " + ProcessHandle.current().pid())
                                    .getBytes(StandardCharsets.UTF_8));
            lockFile.truncate(0);
            while (words.hasRemaining()) lockFile.write(words, words.position());
        } catch (IOException | OverlappingFileLockException e) {
            if (e instanceof DurableException known) throw known;
            close();
            throw named(e instanceof IOException io ? io : new IOException(e), "lock");
        }
    }

    private String owner() throws IOException {
        ByteBuffer words = ByteBuffer.allocate(64);
        lockFile.read(words, 0);
        return words.position() == 0
                ? "another process"
                : new String(words.array(), 0, words.position(), StandardCharsets.UTF_8);
    }

    @Override
    public List<String> list() throws DurableException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK))
                    .sorted()
                    .toList();
        } catch (IOException | java.io.UncheckedIOException e) {
            throw named(e instanceof IOException io ? io : (IOException) e.getCause(), "list");
        }
    }

    @Override
    public byte[] read(String name) throws DurableException {
        try {
            return Files.readAllBytes(folder.resolve(name));
        } catch (IOException e) {
            throw named(e, "read " + name);
        }
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws DurableException {
        try {
            FileChannel channel = channel(name);
            while (bytes.hasRemaining()) channel.write(bytes);
        } catch (IOException e) {
            throw named(e, "append to " + name);
        }
    }

    private FileChannel channel(String name) throws IOException {
        FileChannel channel = channels.get(name);
        if (channel != null) return channel;
        if (channels.size() >= OPEN) {
            var eldest = channels.entrySet().iterator();
            eldest.next().getValue().close();
            eldest.remove();
        }
        channel =
                FileChannel.open(
                        folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        channels.put(name, channel);
        return channel;
    }

    @Override
    public void sync(String name) throws DurableException {
        try {
            channel(name).force(false);
        } catch (IOException e) {
            throw new DurableException.SyncFailed(
                    "sync of " + folder.resolve(name) + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void syncDirectory() throws DurableException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            throw new DurableException.SyncFailed("sync of " + folder + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void rename(String from, String to) throws DurableException {
        try {
            forget(to);
            Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
            FileChannel channel = channels.remove(from);
            if (channel != null) channels.put(to, channel);
        } catch (IOException e) {
            throw named(e, "rename " + from + " to " + to);
        }
    }

    @Override
    public void delete(String name) throws DurableException {
        try {
            forget(name);
            Files.deleteIfExists(folder.resolve(name));
        } catch (IOException e) {
            throw named(e, "delete " + name);
        }
    }

    private void forget(String name) throws IOException {
        FileChannel channel = channels.remove(name);
        if (channel != null) channel.close();
    }

    /**
     * The system's words differ between platforms and languages, so the state of the file system is
     * asked too.
     */
    private DurableException named(IOException e, String what) {
        String facts = "could not " + what + " in " + folder + ": " + e;
        if (e instanceof NoSuchFileException) return new DurableException.FileMissing(facts);
        String words = String.valueOf(e.getMessage());
        boolean full =
                words.contains("No space left")
                        || words.contains("quota exceeded")
                        || words.contains("not enough space");
        boolean readOnly =
                e instanceof AccessDeniedException
                        || words.contains("Read-only file system")
                        || words.contains("Permission denied");
        try {
            full |= Files.getFileStore(folder).getUsableSpace() == 0;
            readOnly |= Files.getFileStore(folder).isReadOnly();
        } catch (IOException | ReadOnlyFileSystemException unknown) {
            // Then the first failure's own words are all there is.
        }
        if (readOnly) return new DurableException.ReadOnlyFileSystem(facts, e);
        if (full) return new DurableException.DiskFull(facts, e);
        return new DurableException.DiskFailed(facts, e);
    }

    @Override
    public void close() {
        for (FileChannel channel : channels.values()) quietly(channel);
        channels.clear();
        if (lockFile != null) quietly(lockFile);
        lockFile = null;
        if (taken == null) return;
        synchronized (TAKEN) {
            TAKEN.remove(taken);
        }
        taken = null;
    }

    private static void quietly(FileChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing that was promised hangs on it: it was synced before.
        }
    }
}
