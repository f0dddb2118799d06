// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which entries of an append are skipped. */
class LogTermIndexTest {
    private static final Voter TWO = new Voter(2, 3);

    @Test
    void appendStartsAfterEntriesOfTheLog() {
        LogTermIndex terms = new LogTermIndex();
        List<LogEntry> sent = new ArrayList<>();
        for (long index = 81; index <= 86; index++) {
            sent.add(
                    RaftMessageCodec.MODEL_FACTORY
                            .createLogEntryBuilder()
                            .setIndex(index)
                            .setTerm(index < 85 ? 1 : 2)
                            .setOperation(new byte[1])
                            .build());
        }
        var append =
                RaftMessageCodec.MODEL_FACTORY
                        .createAppendEntriesRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(TWO)
                        .setTerm(2)
                        .setPreviousLogTerm(1)
                        .setPreviousLogIndex(80)
                        .setCommitIndex(84)
                        .setLogEntries(sent)
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build();
        assertEquals(append, terms.skipKnownEntries(append, 80), "no entry is known");
        terms.append(sent.subList(0, 3));
        var trimmed = (AppendEntriesRequest) terms.skipKnownEntries(append, 80);
        assertEquals(
                List.of(83L, 3, 84L),
                List.of(
                        trimmed.getPreviousLogIndex(),
                        trimmed.getLogEntries().size(),
                        trimmed.getLogEntries().get(0).getIndex()));
        assertEquals(9, trimmed.getFlowControlSequenceNumber());
        terms.truncateFrom(82);
        assertEquals(
                81,
                ((AppendEntriesRequest) terms.skipKnownEntries(append, 80)).getPreviousLogIndex());
        terms.truncateUntil(81);
        assertEquals(append, terms.skipKnownEntries(append, 80));
        assertEquals(
                84,
                ((AppendEntriesRequest) terms.skipKnownEntries(append, 84)).getPreviousLogIndex(),
                "applied entries are known");
        terms.append(
                List.of(
                        RaftMessageCodec.MODEL_FACTORY
                                .createLogEntryBuilder()
                                .setIndex(80)
                                .setTerm(1)
                                .setOperation(new byte[1])
                                .build()));
        assertEquals(
                append, terms.skipKnownEntries(append, 84), "the library can compare by itself");
    }
}
