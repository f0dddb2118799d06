// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * One flat directory of files, the only way from this package to a disk. It is used by one thread
 * at a time. Lengths and offsets are in bytes; a file name has no separators. Each call either does
 * what it says or throws the {@link DurableException} that names the cause, and may then have done
 * a part of it. Nothing is durable before {@link #sync} (a file's bytes) and {@link #syncDirectory}
 * (files created, renamed or deleted) have returned.
 */
public interface Disk extends AutoCloseable {
    /** Where the directory is, as operators know it; for messages only. */
    String location();

    /**
     * Locks the directory for this process until {@link #close()}.
     *
     * @throws DurableException.DirectoryInUse if another user has locked it
     */
    void lock() throws DurableException;

    /** The names of all files, sorted. */
    List<String> list() throws DurableException;

    /**
     * All bytes of a file.
     *
     * @throws DurableException.FileMissing if there is no such file
     */
    byte[] read(String name) throws DurableException;

    /** Appends the buffer's remaining bytes to a file, which is created if there is none. */
    void append(String name, ByteBuffer bytes) throws DurableException;

    /** Returns when the file's bytes are on the disk. */
    void sync(String name) throws DurableException;

    /** Returns when the directory's file names are on the disk. */
    void syncDirectory() throws DurableException;

    /** Renames a file, replacing {@code to} atomically if it exists. */
    void rename(String from, String to) throws DurableException;

    /** Deletes a file; it is no error if there is none. */
    void delete(String name) throws DurableException;

    /** Releases the lock and all file descriptors; never throws. */
    @Override
    void close();
}
