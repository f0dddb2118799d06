// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.Frames.Frame;
import calicostream.durable.Record.Ref;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Snapshot files: the one that is being collected, and what is in a whole one. One thread. */
final class Generations {

    private final Disk disk;
    private final Identity who;
    private final Bytes out = new Bytes(1 << 16);
    private final List<Ref> unreadable = new ArrayList<>();
    private Ref pending;
    private BitSet got;
    private int of;
    private long seq;
    private int crc;

    Generations(Disk disk, Identity who) {
        this.disk = disk;
        this.who = who;
    }

    /**
     * The chunks in order, or null when the file is not whole. A sound file of another member is an
     * error.
     */
    static List<byte[]> decode(Identity who, Ref ref, byte[] file, String name)
            throws DurableException {
        Frame frame = Frames.read(file, 0, name);
        if (frame == null || !(frame.record() instanceof Record.SnapshotHead head)) return null;
        if (!head.who().equals(who))
            throw new DurableException.Foreign(
                    name + " belongs to " + head.who() + ", this is " + who);
        if (!head.ref().equals(ref)) return null;
        byte[][] chunks = new byte[head.chunks()][];
        for (int left = head.chunks(); left > 0; left--) {
            Frame next = next(file, frame, name);
            if (next == null || !(next.record() instanceof Record.Chunk chunk)) return null;
            if (chunk.number() < 0
                    || chunk.number() >= chunks.length
                    || chunks[chunk.number()] != null) return null;
            chunks[chunk.number()] = chunk.bytes();
            frame = next;
        }
        Frame end = next(file, frame, name);
        if (end == null
                || !(end.record() instanceof Record.SnapshotEnd)
                || end.end() != file.length) return null;
        return List.of(chunks);
    }

    private static Frame next(byte[] file, Frame before, String name) throws DurableException {
        Frame frame = Frames.read(file, before.end(), name);
        return frame != null && frame.seq() == before.seq() + 1 && frame.prev() == before.crc()
                ? frame
                : null;
    }

    /**
     * The newest generation that can be read and from which the log goes on without a gap; null
     * where there is none and the log goes back to its first entry. Those that can't be read are
     * dropped from {@code contents}.
     */
    Recovered.Snapshot newest(Contents contents, List<String> findings) throws DurableException {
        List<Ref> refs = new ArrayList<>(contents.snapshots());
        unreadable.clear();
        for (int i = refs.size() - 1; i >= 0; i--) {
            Ref ref = refs.get(i);
            List<byte[]> chunks = load(ref);
            if (chunks != null && contents.base() <= ref.index()) {
                if (!unreadable.isEmpty())
                    findings.add(
                            "snapshots that can't be read: "
                                    + unreadable
                                    + "; "
                                    + Names.snapshot(ref)
                                    + " and the log stand in");
                return new Recovered.Snapshot(ref.index(), ref.term(), chunks);
            }
            if (chunks == null) {
                unreadable.add(ref);
                contents.drop(ref);
            }
        }
        if (contents.base() > 0)
            throw new DurableException.RottenSnapshot(
                    "no readable generation joins the log, which begins after entry "
                            + contents.base()
                            + "; not readable: "
                            + unreadable);
        if (!unreadable.isEmpty())
            findings.add(
                    "snapshots that can't be read: "
                            + unreadable
                            + "; the log from its first entry stands in");
        return null;
    }

    /** What {@link #newest} passed over. */
    List<Ref> unreadable() {
        return unreadable;
    }

    /** Null where the file is not there or not whole. */
    List<byte[]> load(Ref ref) throws DurableException {
        String name = Names.snapshot(ref);
        try {
            return decode(who, ref, disk.read(name), name);
        } catch (DurableException.Missing e) {
            return null;
        }
    }

    void chunk(Ref ref, int number, int count, byte[] bytes) throws DurableException {
        if (pending == null || !pending.equals(ref) || of != count) {
            drop();
            pending = ref;
            of = count;
            got = new BitSet(count);
            seq = 0;
            crc = 0;
            write(new Record.SnapshotHead(who, ref, count));
        }
        if (got.get(number)) return;
        write(new Record.Chunk(number, bytes));
        got.set(number);
    }

    private void write(Record record) throws DurableException {
        out.clear();
        crc = Frames.write(out, record, ++seq, 0, crc);
        disk.append(Names.snapshot(pending) + Names.PART, out.view());
    }

    void drop() throws DurableException {
        if (pending == null) return;
        disk.delete(Names.snapshot(pending) + Names.PART);
        pending = null;
    }

    boolean isWhole() {
        return pending != null && got.cardinality() == of;
    }

    /**
     * Makes the collected snapshot a whole file and names it; null as long as chunks are missing.
     */
    Ref finish() throws DurableException {
        if (!isWhole()) return null;
        Ref done = pending;
        write(new Record.SnapshotEnd(of));
        String name = Names.snapshot(done);
        disk.sync(name + Names.PART);
        disk.rename(name + Names.PART, name);
        disk.syncFolder();
        pending = null;
        return done;
    }

    /** Deletes whole files that the log does not name. */
    void deleteBut(List<Ref> named) throws DurableException {
        List<String> kept = named.stream().map(Names::snapshot).toList();
        for (String name : Names.of(Names.SNAPSHOT, disk.list()))
            if (!kept.contains(name)) disk.delete(name);
    }
}
