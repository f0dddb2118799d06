// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Detects changes of the configuration file by polling, for processes that can't handle SIGHUP.
 * Each poll reads the attributes of the file and does not open it. Not thread-safe, but it may be
 * created on another thread than the one that polls.
 */
public final class ConfigFileWatcher {
    private static final String FILE_ABSENT = "";
    private final Path file;
    private String lastFingerprint;

    /** Records the current state of the file; later changes are relative to it. */
    public ConfigFileWatcher(Path file) {
        this.file = file;
        lastFingerprint = readFingerprint();
    }

    /** The watched file. */
    public Path file() {
        return file;
    }

    /**
     * Whether the file has changed since the last call. An absent file counts as unchanged, because
     * a new version is about to be moved into place.
     */
    public boolean hasChanged() {
        String fingerprint = readFingerprint();
        boolean changed = !fingerprint.equals(FILE_ABSENT) && !fingerprint.equals(lastFingerprint);
        lastFingerprint = changed ? fingerprint : lastFingerprint;
        return changed;
    }

    /**
     * The attributes that identify a version of the file. Two versions with the same modification
     * time differ in size or in file key.
     */
    private String readFingerprint() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return attributes.lastModifiedTime()
                    + " "
                    + attributes.size()
                    + " "
                    + attributes.fileKey();
        } catch (IOException e) {
            return FILE_ABSENT;
        }
    }
}
