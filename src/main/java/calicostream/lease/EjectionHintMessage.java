// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import java.util.ArrayList;
import java.util.List;

/**
 * The payload with which the holder of {@link EjectionHints#LEASE} publishes the state of its
 * ejected and reinstated engines. Immutable.
 *
 * @param sequenceNumber number of the message among those of the same holder, from 1 up
 * @param entries at most {@link EjectionHints#MAX_ENGINES}
 */
record EjectionHintMessage(long sequenceNumber, List<Entry> entries) {
    private static final int VERSION = 1;
    private static final int ENTRY_BYTES = 13;

    /**
     * The state of one engine.
     *
     * @param engine the engine's identifier
     * @param served true: the engine has served a query since its ejection; false: it is ejected
     * @param ageMillis milliseconds since the ejection or the reinstatement, by the sender's clock
     */
    record Entry(long engine, boolean served, int ageMillis) {}

    byte[] encode() {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer().u8(VERSION).i64(sequenceNumber).i32(entries.size());
        for (Entry entry : entries) {
            out.i64(entry.engine).u8(entry.served ? 1 : 0).i32(entry.ageMillis);
        }
        return out.toByteArray();
    }

    /**
     * @throws calicostream.cluster.ClusterException.Malformed if the bytes are not such a message
     */
    static EjectionHintMessage decode(byte[] payload) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("trials", payload);
        in.requireVersion(VERSION);
        long sequenceNumber = in.i64();
        List<Entry> entries = new ArrayList<>();
        for (int remaining = in.count(ENTRY_BYTES); remaining > 0; remaining--) {
            entries.add(new Entry(in.i64(), in.u8() != 0, in.i32()));
        }
        in.requireEnd();
        return new EjectionHintMessage(sequenceNumber, entries);
    }
}
