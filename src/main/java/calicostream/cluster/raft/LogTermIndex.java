// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import java.util.List;
import java.util.TreeMap;

/**
 * The terms of the entries in this voter's log, used to skip entries of an append that the log
 * already has. The library compares the entry that precedes an append, and refuses the append if
 * its log begins right after that entry, as it does after a snapshot that a leader sent: a leader
 * that misses the answers to its next appends would then send the same ones for ever. Pure; the
 * voter's thread.
 */
final class LogTermIndex {
    private final TreeMap<Long, Integer> termByIndex = new TreeMap<>();

    void append(List<LogEntry> entries) {
        entries.forEach(entry -> termByIndex.put(entry.getIndex(), entry.getTerm()));
    }

    void truncateFrom(long index) {
        termByIndex.tailMap(index, true).clear();
    }

    void truncateUntil(long index) {
        termByIndex.headMap(index, true).clear();
    }

    /**
     * Removes the first entries of an append that are in the log or were applied: entries of one
     * index and term are equal, and so are all entries before them. Any other message, and an
     * append whose preceding entry is in the log, is returned unchanged.
     *
     * @param applied the index up to which the log is applied
     */
    RaftMessage skipKnownEntries(RaftMessage message, long applied) {
        if (!(message instanceof AppendEntriesRequest append)
                || termByIndex.containsKey(append.getPreviousLogIndex())) {
            return message;
        }
        List<LogEntry> entries = append.getLogEntries();
        int known = 0;
        while (known < entries.size() && isKnown(entries.get(known), applied)) {
            known++;
        }
        return known == 0 ? message : withoutFirst(append, known);
    }

    private boolean isKnown(LogEntry entry, long applied) {
        Integer term = termByIndex.get(entry.getIndex());
        return entry.getIndex() <= applied || term != null && term == entry.getTerm();
    }

    private static RaftMessage withoutFirst(AppendEntriesRequest append, int count) {
        List<LogEntry> entries = append.getLogEntries();
        LogEntry previous = entries.get(count - 1);
        return RaftMessageCodec.MODEL_FACTORY
                .createAppendEntriesRequestBuilder()
                .setGroupId(append.getGroupId())
                .setSender(append.getSender())
                .setTerm(append.getTerm())
                .setPreviousLogTerm(previous.getTerm())
                .setPreviousLogIndex(previous.getIndex())
                .setCommitIndex(append.getCommitIndex())
                .setLogEntries(List.copyOf(entries.subList(count, entries.size())))
                .setQuerySequenceNumber(append.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(append.getFlowControlSequenceNumber())
                .build();
    }
}
