// SPDX-License-Identifier: Apache-2.0
package calicostream.handover;

import calicostream.core.KeyOwnership;
import java.io.IOException;
import java.nio.channels.FileLock;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keys shared out by locks on bytes past the end of the file of slots: the kernel gives a dead
 * process's away. A key has two of them. Who has the first one runs the key; who waits for it holds
 * the second meanwhile, and as long as somebody does, the one that runs the key lets no further
 * request of its own through. So requests that two processes took keep their order. Where locks
 * fail, keys are kept in order by each process for itself.
 */
final class FileKeyOwnership implements KeyOwnership {
    private static final Logger LOG = LoggerFactory.getLogger(FileKeyOwnership.class);
    private static final long FIRST = 1L << 40; // far beyond the slots
    private static final long KEYS =
            1L << 40; // keys that fall together wait for each other, and no more

    private record Locks(FileLock run, FileLock next) {}

    private final ProcessSlotFile file;
    private final Map<Long, Locks> held = new HashMap<>();
    private boolean troubled;

    FileKeyOwnership(ProcessSlotFile file) {
        this.file = file;
    }

    private static long at(long key) {
        return FIRST + 2 * Math.floorMod(key, KEYS);
    }

    @Override
    public boolean tryAcquire(long key) {
        long at = at(key);
        Locks locks = held.getOrDefault(at, new Locks(null, null));
        try {
            FileLock next = locks.next != null ? locks.next : file.lockByte(at + 1);
            if (next == null) {
                return false;
            }
            FileLock run = locks.run != null ? locks.run : file.lockByte(at);
            held.put(at, new Locks(run, run == null ? next : null));
            if (run != null) {
                next.release();
            }
            return run != null;
        } catch (IOException e) {
            if (!troubled) {
                troubled = true;
                LOG.warn(
                        "keys are not shared with another process of this front end: {}",
                        e.toString());
            }
            return true;
        }
    }

    @Override
    public int otherProcesses() {
        try {
            return file.countOthers();
        } catch (IOException e) {
            LOG.debug("keys: {}", e.toString());
            return 0;
        }
    }

    @Override
    public void release(long key) {
        Locks locks = held.remove(at(key));
        try {
            if (locks != null && locks.run != null) {
                locks.run.release();
            }
            if (locks != null && locks.next != null) {
                locks.next.release();
            }
        } catch (IOException e) {
            LOG.debug("keys: {}", e.toString());
        }
    }
}
