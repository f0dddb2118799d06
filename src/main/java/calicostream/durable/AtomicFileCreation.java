// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.nio.ByteBuffer;

/** Creates a file so that after any crash it is there with all of its bytes or not at all. */
final class AtomicFileCreation {
    private AtomicFileCreation() {}

    /** Writes {@code bytes} as the file {@code name}, which is on the disk on return. */
    static void create(Disk disk, String name, ByteBuffer bytes) throws DurableException {
        String partialName = LogFileNames.partial(name);
        disk.delete(partialName);
        disk.append(partialName, bytes);
        publish(disk, name);
    }

    /** Syncs the partial file of {@code name} and renames it to its final name. */
    static void publish(Disk disk, String name) throws DurableException {
        String partialName = LogFileNames.partial(name);
        disk.sync(partialName);
        disk.rename(partialName, name);
        disk.syncDirectory();
    }
}
