// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SnapshotId;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The names of files: {@code log-}, {@code mark-} and {@code snap-} with numbers of 16 hexadecimal
 * digits, so that names sort as numbers do.
 */
final class LogFileNames {

    static final String SEGMENT_PREFIX = "log-";
    static final String MARKER_PREFIX = "mark-";
    static final String SNAPSHOT_PREFIX = "snap-";
    static final String PARTIAL_SUFFIX = ".part";
    static final String SET_ASIDE_PREFIX = "aside-";

    private static final Pattern ONE = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern TWO = Pattern.compile("[0-9a-f]{16}-[0-9a-f]{16}");
    private static final HexFormat HEX = HexFormat.of();

    private LogFileNames() {}

    static String segment(long number) {
        return SEGMENT_PREFIX + hex(number);
    }

    static String markerFile(long number) {
        return MARKER_PREFIX + hex(number);
    }

    static String snapshot(SnapshotId ref) {
        return SNAPSHOT_PREFIX + hex(ref.index()) + "-" + hex(ref.term());
    }

    private static String hex(long number) {
        return HEX.toHexDigits(number);
    }

    static long number(String name) {
        return Long.parseUnsignedLong(name.substring(name.length() - 16), 16);
    }

    /** Whole files of one kind; other names, such as an editor's leavings, are let be. */
    static List<String> filesOfKind(String kind, List<String> names) {
        Pattern numbers = kind.equals(SNAPSHOT_PREFIX) ? TWO : ONE;
        List<String> found = new ArrayList<>();
        for (String name : names)
            if (name.startsWith(kind) && numbers.matcher(name.substring(kind.length())).matches())
                found.add(name);
        found.sort(null);
        return found;
    }

    static boolean isPart(String name) {
        return name.endsWith(PARTIAL_SUFFIX)
                && (name.startsWith(SEGMENT_PREFIX)
                        || name.startsWith(MARKER_PREFIX)
                        || name.startsWith(SNAPSHOT_PREFIX));
    }
}
