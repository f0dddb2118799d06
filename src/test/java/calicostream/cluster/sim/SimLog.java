// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.durable.DurableException;
import calicostream.durable.DurableLog;
import calicostream.durable.Recovered;
import calicostream.durable.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;

/** A voter's log in memory whose crash keeps what was synced and a random prefix of what was not. */
final class SimLog implements DurableLog {
    /** What is on the disk. */
    private static final class State {
        final SortedMap<String, byte[]> notes = new TreeMap<>();
        final TreeMap<Long, byte[]> entries = new TreeMap<>();
        final TreeMap<Integer, byte[]> unfinished = new TreeMap<>();
        long term;
        String voted = "";
        long snapshotIndex;
        long unfinishedIndex;
        List<byte[]> snapshot = new ArrayList<>();
    }

    private interface Write {
        void to(State state);
    }

    private State disk = new State();
    private final List<Write> unsynced = new ArrayList<>();
    private long next = 1;
    private long snapshot;
    /** Syncs are acknowledged and nothing is kept: a disk that lies. */
    boolean lies;
    /** The next sync fails, and everything after it. */
    boolean fails;

    @Override
    public Recovered recovered() {
        List<Recovered.Entry> entries = new ArrayList<>();
        disk.entries.forEach((index, bytes) -> entries.add(new Recovered.Entry(index, 0, bytes)));
        return new Recovered(disk.term, disk.voted, disk.notes, disk.snapshot.isEmpty() ? null
                : new Recovered.Snapshot(disk.snapshotIndex, 0, disk.snapshot), entries, null, List.of());
    }

    void crash(Random random) {
        int kept = random.nextInt(unsynced.size() + 1);
        for (Write write : unsynced.subList(0, lies ? 0 : kept)) {
            write.to(disk);
        }
        unsynced.clear();
        disk.unfinished.clear();
        fails = false;
        snapshot = disk.snapshotIndex;
        disk.entries.headMap(snapshot, true).clear();
        next = Math.max(snapshot, disk.entries.isEmpty() ? 0 : disk.entries.lastKey()) + 1;
    }

    private void write(Write write) throws DurableException {
        if (fails) {
            throw new DurableException.Failed("disk fails", null);
        }
        unsynced.add(write);
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }

    @Override
    public void appendEntry(long index, long term, byte[] bytes) throws DurableException {
        require(index == next, "entry " + index + ", next is " + next);
        write(state -> state.entries.put(index, bytes));
        next++;
    }

    @Override
    public void truncateFrom(long index) throws DurableException {
        require(index > snapshot, "truncates from " + index + ", snapshot is at " + snapshot);
        write(state -> state.entries.tailMap(index, true).clear());
        next = Math.min(next, index);
    }

    @Override
    public void truncateUntil(long index) throws DurableException {
        require(index <= snapshot, "truncates until " + index + ", snapshot is at " + snapshot);
        write(state -> state.entries.headMap(index, true).clear());
        next = Math.max(next, index + 1);
    }

    @Override
    public void saveTerm(long term, String votedFor) throws DurableException {
        write(state -> {
            require(term > state.term || term == state.term && (state.voted.isEmpty() || state.voted.equals(votedFor)),
                    "term " + term + " vote " + votedFor + " after " + state.term + " " + state.voted);
            state.term = term;
            state.voted = votedFor;
        });
    }

    @Override
    public void saveNote(String name, byte[] value) throws DurableException {
        write(state -> state.notes.put(name, value));
    }

    @Override
    public void snapshotChunk(long index, long term, int chunk, int of, byte[] bytes) throws DurableException {
        if (chunk == of - 1) {
            snapshot = index;
            next = Math.max(next, index + 1);
        }
        write(state -> {
            if (state.unfinishedIndex != index) {
                state.unfinished.clear();
                state.unfinishedIndex = index;
            }
            state.unfinished.put(chunk, bytes);
            if (state.unfinished.size() == of) {
                state.snapshot = new ArrayList<>(state.unfinished.values());
                state.snapshotIndex = index;
                state.unfinished.clear();
            }
        });
    }

    @Override
    public void dropUnfinishedSnapshot() throws DurableException {
        write(state -> state.unfinished.clear());
    }

    @Override
    public void sync() throws DurableException {
        if (fails) {
            throw new DurableException.Failed("disk fails", null);
        }
        if (!lies) {
            unsynced.forEach(write -> write.to(disk));
            unsynced.clear();
        }
    }

    @Override
    public void bar(String why) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void admit() {
        throw new UnsupportedOperationException();
    }

    @Override
    public Status status() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {
    }
}
