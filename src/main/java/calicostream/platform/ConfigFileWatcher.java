// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Whether the configuration file is still the one that was read, for processes that can't hear
 * SIGHUP. One look is one question to the file system; nothing is opened. Not thread-safe: it is
 * made by one thread and asked by one.
 */
public final class ConfigFileWatcher {
    private static final String ABSENT = "";
    private final Path file;
    private String seen;

    /** Takes the file as it is now for the one that is known. */
    public ConfigFileWatcher(Path file) {
        this.file = file;
        seen = look();
    }

    /** The watched file. */
    public Path file() {
        return file;
    }

    /**
     * Whether it has changed since the last look. One that is absent has not: it is about to be
     * moved into place.
     */
    public boolean hasChanged() {
        String now = look();
        boolean changed = !now.equals(ABSENT) && !now.equals(seen);
        seen = changed ? now : seen;
        return changed;
    }

    /**
     * Two files written in one tick of the file system's clock are told apart by size or by file.
     */
    private String look() {
        try {
            BasicFileAttributes is = Files.readAttributes(file, BasicFileAttributes.class);
            return is.lastModifiedTime() + " " + is.size() + " " + is.fileKey();
        } catch (IOException e) {
            return ABSENT;
        }
    }
}
