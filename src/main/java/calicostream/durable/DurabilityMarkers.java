// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.DurabilityMarker;
import calicostream.durable.RecordFraming.Frame;
import java.util.List;

/**
 * Reads and writes the durability markers of a member, in files of their own, best on another
 * device than the log. Each file begins with a complete marker and grows by one with each sync; the
 * last valid one counts. One thread.
 */
final class DurabilityMarkers {
    private static final int MAX_FILE_BYTES = 64 << 10;
    private static final int BUFFER_BYTES = 512;

    private final Disk disk;
    private final FieldBuffer buffer = new FieldBuffer(BUFFER_BYTES);
    private long fileNumber;
    private String fileName;
    private long sequence;
    private int checksum;
    private int fileBytes;
    private DurabilityMarker last;
    private boolean isUnreadable;

    private DurabilityMarkers(Disk disk) {
        this.disk = disk;
    }

    /**
     * Reads the markers that exist.
     *
     * @param findings to which remarks for operators are added
     * @throws DurableException.ForeignDirectory if they are another member's
     */
    static DurabilityMarkers read(Disk disk, LogIdentity identity, List<String> findings)
            throws DurableException {
        DurabilityMarkers markers = new DurabilityMarkers(disk);
        List<String> files = LogFileNames.filesOfKind(LogFileNames.MARKER_PREFIX, disk.list());
        for (int i = files.size() - 1; i >= 0 && markers.last == null; i--) {
            markers.readFile(files.get(i), findings);
        }
        DurabilityMarker last = markers.last;
        markers.isUnreadable = last == null && !files.isEmpty();
        if (last != null && !last.identity().equals(identity)) {
            throw new DurableException.ForeignDirectory(
                    disk.location()
                            + " has the markers of "
                            + last.identity()
                            + ", this is "
                            + identity);
        }
        return markers;
    }

    private void readFile(String name, List<String> findings) throws DurableException {
        fileNumber = Math.max(fileNumber, LogFileNames.number(name));
        byte[] bytes = disk.read(name);
        int endOffset = 0;
        Frame frame = RecordFraming.find(bytes, 0, name);
        while (frame != null) {
            if (frame.record() instanceof DurabilityMarker marker) {
                last = marker;
            }
            endOffset = frame.endOffset();
            frame = RecordFraming.find(bytes, endOffset, name);
        }
        if (endOffset < bytes.length) {
            int unreadBytes = bytes.length - endOffset;
            findings.add(name + ": its last " + unreadBytes + " bytes are no marker");
        }
    }

    /** The last valid marker; null without any. */
    DurabilityMarker last() {
        return last;
    }

    /** Whether files exist and none holds a marker, which no crash causes. */
    boolean isUnreadable() {
        return isUnreadable;
    }

    /** Size of the file that is being written. */
    long fileBytes() {
        return fileBytes;
    }

    /** Begins a new file with this marker and deletes the earlier ones. */
    void beginFile(DurabilityMarker marker) throws DurableException {
        fileNumber++;
        buffer.clear();
        sequence = 1;
        checksum = RecordFraming.write(buffer, marker, sequence, 0, 0);
        String name = LogFileNames.markerFile(fileNumber);
        AtomicFileCreation.create(disk, name, buffer.view());
        fileBytes = buffer.size();
        fileName = name;
        last = marker;
        for (String old : LogFileNames.filesOfKind(LogFileNames.MARKER_PREFIX, disk.list())) {
            if (!old.equals(name)) {
                disk.delete(old);
            }
        }
    }

    /** Writes a marker, which is on the disk on return. */
    void append(DurabilityMarker marker) throws DurableException {
        if (fileBytes > MAX_FILE_BYTES) {
            beginFile(marker);
            return;
        }
        buffer.clear();
        sequence++;
        checksum = RecordFraming.write(buffer, marker, sequence, 0, checksum);
        fileBytes += buffer.size();
        disk.append(fileName, buffer.view());
        disk.sync(fileName);
        last = marker;
    }
}
