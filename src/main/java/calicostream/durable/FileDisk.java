// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.io.IOException;
import java.io.UncheckedIOException;
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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * A directory of the file system as a {@link Disk}; it is created if it does not exist. The calling
 * thread must not be interrupted: an interrupt closes the channel, which counts as a failed write.
 */
public final class FileDisk implements Disk {
    private static final String LOCK_FILE = "lock";
    private static final int MAX_LOCK_TEXT_BYTES = 64;

    /** More than are ever written at once: segment, marker file, and a new file of each kind. */
    private static final int MAX_OPEN_CHANNELS = 6;

    /**
     * The directories that this process has locked. The system's lock belongs to the process and is
     * lost when any channel to the file closes, so it can't separate two users within the process.
     */
    private static final Set<Path> LOCKED_DIRECTORIES = new HashSet<>();

    private final Path directory;

    /** Open channels by file name, least recently used first. */
    private final Map<String, FileChannel> channels = new LinkedHashMap<>(8, 0.75f, true);

    private Path lockedDirectory;
    private FileChannel lockChannel;

    /**
     * Creates the directory if it does not exist; it is not locked yet.
     *
     * @throws DurableException if it can't be created
     */
    public FileDisk(Path directory) throws DurableException {
        this.directory = directory;
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw classify(e, "make the folder");
        }
    }

    @Override
    public String location() {
        return directory.toString();
    }

    @Override
    public void lock() throws DurableException {
        try {
            Path realDirectory = directory.toRealPath();
            synchronized (LOCKED_DIRECTORIES) {
                if (!LOCKED_DIRECTORIES.add(realDirectory)) {
                    throw new DurableException.DirectoryInUse(
                            directory + " is in use by this process already");
                }
            }
            lockedDirectory = realDirectory;
            lockFile();
        } catch (DurableException e) {
            throw e;
        } catch (IOException e) {
            close();
            throw classify(e, "lock");
        } catch (OverlappingFileLockException e) {
            close();
            throw classify(new IOException(e), "lock");
        }
    }

    private void lockFile() throws IOException {
        lockChannel =
                FileChannel.open(
                        directory.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        FileLock lock = lockChannel.tryLock();
        if (lock == null) {
            String owner = lockOwner();
            close();
            throw new DurableException.DirectoryInUse(directory + " is in use by " + owner);
        }
        String text = "process " + ProcessHandle.current().pid();
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        lockChannel.truncate(0);
        while (bytes.hasRemaining()) {
            lockChannel.write(bytes, bytes.position());
        }
    }

    private String lockOwner() throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(MAX_LOCK_TEXT_BYTES);
        lockChannel.read(bytes, 0);
        return bytes.position() == 0
                ? "another process"
                : new String(bytes.array(), 0, bytes.position(), StandardCharsets.UTF_8);
    }

    @Override
    public List<String> list() throws DurableException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw classify(e, "list");
        } catch (UncheckedIOException e) {
            throw classify(e.getCause(), "list");
        }
    }

    @Override
    public byte[] read(String name) throws DurableException {
        try {
            return Files.readAllBytes(directory.resolve(name));
        } catch (IOException e) {
            throw classify(e, "read " + name);
        }
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws DurableException {
        try {
            FileChannel channel = channel(name);
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        } catch (IOException e) {
            throw classify(e, "append to " + name);
        }
    }

    /** The channel of a file; the least recently used one is closed if there are too many. */
    private FileChannel channel(String name) throws IOException {
        FileChannel channel = channels.get(name);
        if (channel != null) {
            return channel;
        }
        if (channels.size() >= MAX_OPEN_CHANNELS) {
            Iterator<FileChannel> leastRecentlyUsed = channels.values().iterator();
            leastRecentlyUsed.next().close();
            leastRecentlyUsed.remove();
        }
        channel =
                FileChannel.open(
                        directory.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
        channels.put(name, channel);
        return channel;
    }

    @Override
    public void sync(String name) throws DurableException {
        try {
            channel(name).force(false);
        } catch (IOException e) {
            throw syncFailed(directory.resolve(name), e);
        }
    }

    @Override
    public void syncDirectory() throws DurableException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            throw syncFailed(directory, e);
        }
    }

    private static DurableException syncFailed(Path path, IOException e) {
        return new DurableException.SyncFailed("sync of " + path + ": " + e.getMessage(), e);
    }

    @Override
    public void rename(String from, String to) throws DurableException {
        try {
            closeChannel(to);
            Files.move(
                    directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
            FileChannel channel = channels.remove(from);
            if (channel != null) {
                channels.put(to, channel);
            }
        } catch (IOException e) {
            throw classify(e, "rename " + from + " to " + to);
        }
    }

    @Override
    public void delete(String name) throws DurableException {
        try {
            closeChannel(name);
            Files.deleteIfExists(directory.resolve(name));
        } catch (IOException e) {
            throw classify(e, "delete " + name);
        }
    }

    private void closeChannel(String name) throws IOException {
        FileChannel channel = channels.remove(name);
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * The type of a failure. The system's messages differ between platforms and languages, so the
     * state of the file system is checked too.
     */
    private DurableException classify(IOException failure, String operation) {
        String facts = "could not " + operation + " in " + directory + ": " + failure;
        if (failure instanceof NoSuchFileException) {
            return new DurableException.FileMissing(facts);
        }
        String message = String.valueOf(failure.getMessage());
        boolean isFull =
                message.contains("No space left")
                        || message.contains("quota exceeded")
                        || message.contains("not enough space");
        boolean isReadOnly =
                failure instanceof AccessDeniedException
                        || message.contains("Read-only file system")
                        || message.contains("Permission denied");
        try {
            isFull |= Files.getFileStore(directory).getUsableSpace() == 0;
            isReadOnly |= Files.getFileStore(directory).isReadOnly();
        } catch (IOException | ReadOnlyFileSystemException e) {
            // The message of the first failure has to do.
        }
        if (isReadOnly) {
            return new DurableException.ReadOnlyFileSystem(facts, failure);
        }
        if (isFull) {
            return new DurableException.DiskFull(facts, failure);
        }
        return new DurableException.DiskFailed(facts, failure);
    }

    @Override
    public void close() {
        for (FileChannel channel : channels.values()) {
            closeQuietly(channel);
        }
        channels.clear();
        if (lockChannel != null) {
            closeQuietly(lockChannel);
        }
        lockChannel = null;
        if (lockedDirectory == null) {
            return;
        }
        synchronized (LOCKED_DIRECTORIES) {
            LOCKED_DIRECTORIES.remove(lockedDirectory);
        }
        lockedDirectory = null;
    }

    private static void closeQuietly(FileChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing that was acknowledged depends on it: that was synced before.
        }
    }
}
