// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.Frames.Frame;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The marks of a member, in files of their own, best on another device than the log. Each file
 * begins with a whole mark and grows by one at each sync; the last sound one holds. One thread.
 */
final class Marks {

    private static final int ROLL = 64 << 10;

    private final Disk disk;
    private final Bytes out = new Bytes(512);
    private long number;
    private String file;
    private long seq;
    private int crc;
    private int size;
    private Record.Mark last;
    private boolean unreadable;

    private Marks(Disk disk) {
        this.disk = disk;
    }

    /** Reads the marks that are there; {@link #last} is null without any. */
    static Marks read(Disk disk, Identity who, List<String> findings) throws DurableException {
        Marks marks = new Marks(disk);
        List<String> files = Names.of(Names.MARK, disk.list());
        for (int i = files.size() - 1; i >= 0 && marks.last == null; i--) {
            String name = files.get(i);
            marks.number = Math.max(marks.number, Names.number(name));
            byte[] bytes = disk.read(name);
            int end = 0;
            for (Frame frame = Frames.find(bytes, 0, name);
                    frame != null;
                    frame = Frames.find(bytes, frame.end(), name)) {
                if (frame.record() instanceof Record.Mark mark) marks.last = mark;
                end = frame.end();
            }
            if (end < bytes.length)
                findings.add(name + ": its last " + (bytes.length - end) + " bytes are no mark");
        }
        Record.Mark mark = marks.last;
        marks.unreadable = mark == null && !files.isEmpty();
        if (mark != null && !mark.who().equals(who))
            throw new DurableException.Foreign(
                    disk.place() + " has the marks of " + mark.who() + ", this is " + who);
        return marks;
    }

    Record.Mark last() {
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
    void begin(Record.Mark mark) throws DurableException {
        number++;
        out.clear();
        seq = 1;
        crc = Frames.write(out, mark, seq, 0, 0);
        String name = Names.mark(number);
        place(disk, name, out.view());
        size = out.size();
        file = name;
        last = mark;
        for (String old : Names.of(Names.MARK, disk.list()))
            if (!old.equals(name)) disk.delete(old);
    }

    /** On the disk on return. */
    void put(Record.Mark mark) throws DurableException {
        if (size > ROLL) {
            begin(mark);
            return;
        }
        out.clear();
        int prev = crc;
        crc = Frames.write(out, mark, ++seq, 0, prev);
        size += out.size();
        disk.append(file, out.view());
        disk.sync(file);
        last = mark;
    }

    /** Puts a whole file there, or none. */
    static void place(Disk disk, String name, ByteBuffer bytes) throws DurableException {
        String part = name + Names.PART;
        disk.delete(part);
        disk.append(part, bytes);
        disk.sync(part);
        disk.rename(part, name);
        disk.syncFolder();
    }
}
