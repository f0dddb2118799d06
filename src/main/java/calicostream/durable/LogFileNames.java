// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SnapshotId;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The names of segments, marker files and snapshots: a prefix and numbers of 16 hexadecimal digits,
 * so that names sort as their numbers do.
 */
final class LogFileNames {
    static final String SEGMENT_PREFIX = "log-";
    static final String MARKER_PREFIX = "mark-";
    static final String SNAPSHOT_PREFIX = "snap-";
    static final String SET_ASIDE_PREFIX = "aside-";

    private static final String PARTIAL_SUFFIX = ".part";
    private static final int NUMBER_DIGITS = 16;
    private static final int HEXADECIMAL = 16;
    private static final Pattern ONE_NUMBER = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern TWO_NUMBERS = Pattern.compile("[0-9a-f]{16}-[0-9a-f]{16}");
    private static final HexFormat HEX_FORMAT = HexFormat.of();

    private LogFileNames() {}

    static String segment(long number) {
        return SEGMENT_PREFIX + toHex(number);
    }

    static String markerFile(long number) {
        return MARKER_PREFIX + toHex(number);
    }

    static String snapshot(SnapshotId id) {
        return SNAPSHOT_PREFIX + toHex(id.index()) + "-" + toHex(id.term());
    }

    /** The name of a file while it is being written. */
    static String partial(String name) {
        return name + PARTIAL_SUFFIX;
    }

    /** The name of a file that was set aside when {@code incarnation} started over. */
    static String setAside(long incarnation, String name) {
        return SET_ASIDE_PREFIX + incarnation + "-" + name;
    }

    private static String toHex(long number) {
        return HEX_FORMAT.toHexDigits(number);
    }

    /** The number of a segment or marker file. */
    static long number(String name) {
        String digits = name.substring(name.length() - NUMBER_DIGITS);
        return Long.parseUnsignedLong(digits, HEXADECIMAL);
    }

    /**
     * The complete files of one kind, sorted; other files, such as an editor's backup copies, are
     * ignored.
     */
    static List<String> filesOfKind(String prefix, List<String> names) {
        Pattern numbers = prefix.equals(SNAPSHOT_PREFIX) ? TWO_NUMBERS : ONE_NUMBER;
        List<String> found = new ArrayList<>();
        for (String name : names) {
            if (name.startsWith(prefix)
                    && numbers.matcher(name.substring(prefix.length())).matches()) {
                found.add(name);
            }
        }
        found.sort(null);
        return found;
    }

    /** Whether this is a partial file of any kind. */
    static boolean isPartial(String name) {
        return name.endsWith(PARTIAL_SUFFIX)
                && (name.startsWith(SEGMENT_PREFIX)
                        || name.startsWith(MARKER_PREFIX)
                        || name.startsWith(SNAPSHOT_PREFIX));
    }
}
