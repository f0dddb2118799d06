// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

import calicostream.core.KeyOwnership;
import java.io.IOException;
import java.nio.channels.FileLock;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Divides keys among the processes of one server by locks on single bytes beyond the end of the
 * slot file; the kernel releases the locks of a process that dies.
 *
 * <p>A key has two lock bytes. The process that holds the first one runs requests of the key. A
 * process that waits for the key holds the second one meanwhile, and as long as it does, the owner
 * admits no further request of the key. So requests accepted by two processes keep their order.
 * Where locking fails, each process orders its keys by itself.
 */
final class FileKeyOwnership implements KeyOwnership {
    private static final Logger LOG = LoggerFactory.getLogger(FileKeyOwnership.class);

    /** File offset of the first lock byte, far beyond the slots. */
    private static final long FIRST_LOCK_OFFSET = 1L << 40;

    /** Keys that are equal modulo this number share their locks and wait for each other. */
    private static final long DISTINCT_KEYS = 1L << 40;

    /** The locks that this process holds for one key; null for one that it does not hold. */
    private record KeyLocks(FileLock owner, FileLock waiter) {
        static final KeyLocks NONE = new KeyLocks(null, null);
    }

    private final ProcessSlotFile file;
    private final Map<Long, KeyLocks> locksByOffset = new HashMap<>();
    private boolean failureLogged;

    FileKeyOwnership(ProcessSlotFile file) {
        this.file = file;
    }

    private static long ownerOffset(long key) {
        return FIRST_LOCK_OFFSET + 2 * Math.floorMod(key, DISTINCT_KEYS);
    }

    @Override
    public boolean tryAcquire(long key) {
        try {
            return tryLock(ownerOffset(key));
        } catch (IOException e) {
            if (!failureLogged) {
                failureLogged = true;
                LOG.warn("keys are not shared with the server's other processes: {}", e.toString());
            }
            return true;
        }
    }

    private boolean tryLock(long ownerOffset) throws IOException {
        KeyLocks held = locksByOffset.getOrDefault(ownerOffset, KeyLocks.NONE);
        FileLock waiter = held.waiter != null ? held.waiter : file.tryLockByte(ownerOffset + 1);
        if (waiter == null) {
            return false;
        }
        FileLock owner = held.owner != null ? held.owner : file.tryLockByte(ownerOffset);
        if (owner == null) {
            locksByOffset.put(ownerOffset, new KeyLocks(null, waiter));
            return false;
        }
        locksByOffset.put(ownerOffset, new KeyLocks(owner, null));
        waiter.release();
        return true;
    }

    @Override
    public int otherProcesses() {
        try {
            return file.countOthers();
        } catch (IOException e) {
            LOG.debug("other processes not counted: {}", e.toString());
            return 0;
        }
    }

    @Override
    public void release(long key) {
        KeyLocks held = locksByOffset.remove(ownerOffset(key));
        if (held == null) {
            return;
        }
        try {
            if (held.owner != null) {
                held.owner.release();
            }
            if (held.waiter != null) {
                held.waiter.release();
            }
        } catch (IOException e) {
            LOG.debug("key lock not released: {}", e.toString());
        }
    }
}
