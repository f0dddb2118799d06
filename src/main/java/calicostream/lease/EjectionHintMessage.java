// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import java.util.ArrayList;
import java.util.List;

/**
 * The payload in which the holder of {@link EjectionHints#LEASE} publishes its view of the engines.
 * Immutable.
 *
 * @param number counts the holder's messages from 1 up
 * @param entries at most {@link EjectionHints#MAX_ENGINES}
 */
record EjectionHintMessage(long number, List<Entry> entries) {
    private static final int VERSION = 1;
    private static final int ENTRY_BYTES = 13;

    /**
     * One engine.
     *
     * @param engine the engine's identifier
     * @param served true: the engine has served a query since its ejection; false: it is ejected
     * @param ageMillis milliseconds since then by the sender's clock
     */
    record Entry(long engine, boolean served, int ageMillis) {}

    byte[] encode() {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer().u8(VERSION).i64(number).i32(entries.size());
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
        long number = in.i64();
        List<Entry> entries = new ArrayList<>();
        for (int left = in.count(ENTRY_BYTES); left > 0; left--) {
            entries.add(new Entry(in.i64(), in.u8() != 0, in.i32()));
        }
        in.requireEnd();
        return new EjectionHintMessage(number, entries);
    }
}
