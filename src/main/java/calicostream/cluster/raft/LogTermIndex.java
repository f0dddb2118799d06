// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import java.util.List;
import java.util.TreeMap;

/**
 * The terms of the entries in this voter's log, and appends without what the log has; pure, one
 * thread. The library compares the entry before an append's first one, and refuses if its log
 * begins right after that one, as it does behind a snapshot that a leader sent: if the leader then
 * misses the answers to what it sent next, it sends the same again for ever.
 */
final class LogTermIndex {
    private final TreeMap<Long, Integer> terms = new TreeMap<>();

    void append(List<LogEntry> entries) {
        entries.forEach(entry -> terms.put(entry.getIndex(), entry.getTerm()));
    }

    void truncateFrom(long index) {
        terms.tailMap(index, true).clear();
    }

    void truncateUntil(long index) {
        terms.headMap(index, true).clear();
    }

    /**
     * An append whose first entries are in the log begins after them: entries of one index and term
     * are the same, and so is all before them; so are those that were applied. Any other message,
     * and an append whose entry before the first is known, is as it was.
     */
    RaftMessage skipKnownEntries(RaftMessage message, long applied) {
        if (!(message instanceof AppendEntriesRequest append)
                || terms.containsKey(append.getPreviousLogIndex())) {
            return message;
        }
        List<LogEntry> entries = append.getLogEntries();
        int known = 0;
        while (known < entries.size()
                && (entries.get(known).getIndex() <= applied
                        || Integer.valueOf(entries.get(known).getTerm())
                                .equals(terms.get(entries.get(known).getIndex())))) {
            known++;
        }
        if (known == 0) {
            return message;
        }
        LogEntry before = entries.get(known - 1);
        return RaftMessageCodec.MODEL_FACTORY
                .createAppendEntriesRequestBuilder()
                .setGroupId(append.getGroupId())
                .setSender(append.getSender())
                .setTerm(append.getTerm())
                .setPreviousLogTerm(before.getTerm())
                .setPreviousLogIndex(before.getIndex())
                .setCommitIndex(append.getCommitIndex())
                .setLogEntries(List.copyOf(entries.subList(known, entries.size())))
                .setQuerySequenceNumber(append.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(append.getFlowControlSequenceNumber())
                .build();
    }
}
