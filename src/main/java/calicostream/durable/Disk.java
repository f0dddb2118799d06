// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/**
 * One flat folder of files, the only way from this package to a disk. One thread at a time. Lengths
 * and offsets are in bytes; a name has no separators. Each call either does what it says or throws
 * the {@link DurableException} that names why, and then may have done a part of it. Nothing is
 * durable before {@link #sync} (a file's bytes) and {@link #syncFolder} (names that came, went or
 * changed) returned.
 */
public interface Disk extends AutoCloseable {

    /** Where it is, as operators know it; for messages only. */
    String location();

    /**
     * Takes the folder for this process until {@link #close()}, or throws {@link
     * DurableException.InUse}.
     */
    void lock() throws DurableException;

    /** The names of all files, sorted. */
    java.util.List<String> list() throws DurableException;

    /** All of the file's bytes, or {@link DurableException.FileMissing}. */
    byte[] read(String name) throws DurableException;

    /** Adds the buffer's remaining bytes at the file's end; the file is made when there is none. */
    void append(String name, java.nio.ByteBuffer bytes) throws DurableException;

    /** Returns when the file's bytes are on the disk. */
    void sync(String name) throws DurableException;

    /** Returns when the names in the folder are on the disk. */
    void syncDirectory() throws DurableException;

    /** Puts {@code to} in place of what stands there, at once or not at all. */
    void rename(String from, String to) throws DurableException;

    /** A file that is not there is no failure. */
    void delete(String name) throws DurableException;

    /** Gives the lock and all descriptors back; never throws. */
    @Override
    void close();
}
