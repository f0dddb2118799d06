// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.Optional;

/** The types of records, with the numbers that stand for them in files and never change. */
enum RecordType {
    SEGMENT_HEADER(1),
    ENTRY(2),
    SUFFIX_TRUNCATION(3),
    TERM_AND_VOTE(4),
    METADATA_ENTRY(5),
    SNAPSHOT_COMPLETED(6),
    VOTING_STATUS_CHANGE(7),
    DURABILITY_MARKER(8),
    SNAPSHOT_HEADER(9),
    SNAPSHOT_CHUNK(10),
    SNAPSHOT_TRAILER(11);

    private static final RecordType[] TYPES = values();

    private final int code;

    RecordType(int code) {
        this.code = code;
    }

    /** The number in files. */
    int code() {
        return code;
    }

    /** The type of a number; empty for one that this version does not know. */
    static Optional<RecordType> ofCode(int code) {
        for (RecordType type : TYPES) {
            if (type.code == code) {
                return Optional.of(type);
            }
        }
        return Optional.empty();
    }
}
