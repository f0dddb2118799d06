// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.RecordFraming.Frame;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The marks of a member, in files of their own, best on another device than the log. Each file
 * begins with a whole mark and grows by one at each sync; the last sound one holds. One thread.
 */
final class DurabilityMarkers {

    private static final int ROLL = 64 << 10;

    private final Disk disk;
    private final FieldBuffer out = new FieldBuffer(512);
    private long number;
    private String file;
    private long seq;
    private int crc;
    private int size;
    private LogRecord.DurabilityMarker last;
    private boolean unreadable;

    private DurabilityMarkers(Disk disk) {
        this.disk = disk;
    }

    /** Reads the marks that are there; {@link #last} is null without any. */
    static DurabilityMarkers read(Disk disk, LogIdentity who, List<String> findings)
            throws DurableException {
        DurabilityMarkers marks = new DurabilityMarkers(disk);
        List<String> files = LogFileNames.filesOfKind(LogFileNames.MARKER_PREFIX, disk.list());
        for (int i = files.size() - 1; i >= 0 && marks.last == null; i--) {
            String name = files.get(i);
            marks.number = Math.max(marks.number, LogFileNames.number(name));
            byte[] bytes = disk.read(name);
            int end = 0;
            for (Frame frame = RecordFraming.find(bytes, 0, name);
                    frame != null;
                    frame = RecordFraming.find(bytes, frame.end(), name)) {
                if (frame.record() instanceof LogRecord.DurabilityMarker mark) marks.last = mark;
                end = frame.end();
            }
            if (end < bytes.length)
                findings.add(name + ": its last " + (bytes.length - end) + " bytes are no mark");
        }
        LogRecord.DurabilityMarker mark = marks.last;
        marks.unreadable = mark == null && !files.isEmpty();
        if (mark != null && !mark.who().equals(who))
            throw new DurableException.ForeignDirectory(
                    disk.location() + " has the marks of " + mark.who() + ", this is " + who);
        return marks;
    }

    LogRecord.DurabilityMarker last() {
        return last;
    }

    /** Files are there and none holds a mark, which no crash does. */
    boolean isUnreadable() {
        return unreadable;
    }

    long bytes() {
        return size;
    }

    /** Begins a new file with this mark, in place of those that were. */
    void begin(LogRecord.DurabilityMarker mark) throws DurableException {
        number++;
        out.clear();
        seq = 1;
        crc = RecordFraming.write(out, mark, seq, 0, 0);
        String name = LogFileNames.markerFile(number);
        place(disk, name, out.view());
        size = out.size();
        file = name;
        last = mark;
        for (String old : LogFileNames.filesOfKind(LogFileNames.MARKER_PREFIX, disk.list()))
            if (!old.equals(name)) disk.delete(old);
    }

    /** On the disk on return. */
    void put(LogRecord.DurabilityMarker mark) throws DurableException {
        if (size > ROLL) {
            begin(mark);
            return;
        }
        out.clear();
        int prev = crc;
        crc = RecordFraming.write(out, mark, ++seq, 0, prev);
        size += out.size();
        disk.append(file, out.view());
        disk.sync(file);
        last = mark;
    }

    /** Puts a whole file there, or none. */
    static void place(Disk disk, String name, ByteBuffer bytes) throws DurableException {
        String part = name + LogFileNames.PARTIAL_SUFFIX;
        disk.delete(part);
        disk.append(part, bytes);
        disk.sync(part);
        disk.rename(part, name);
        disk.syncDirectory();
    }
}
