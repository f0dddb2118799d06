// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.Ref;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The names of files: {@code log-}, {@code mark-} and {@code snap-} with numbers of 16 hexadecimal
 * digits, so that names sort as numbers do.
 */
final class SegmentNames {

    static final String LOG = "log-";
    static final String MARK = "mark-";
    static final String SNAPSHOT = "snap-";
    static final String PART = ".part";
    static final String ASIDE = "aside-";

    private static final Pattern ONE = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern TWO = Pattern.compile("[0-9a-f]{16}-[0-9a-f]{16}");
    private static final HexFormat HEX = HexFormat.of();

    private SegmentNames() {}

    static String log(long number) {
        return LOG + hex(number);
    }

    static String mark(long number) {
        return MARK + hex(number);
    }

    static String snapshot(Ref ref) {
        return SNAPSHOT + hex(ref.index()) + "-" + hex(ref.term());
    }

    private static String hex(long number) {
        return HEX.toHexDigits(number);
    }

    static long number(String name) {
        return Long.parseUnsignedLong(name.substring(name.length() - 16), 16);
    }

    /** Whole files of one kind; other names, such as an editor's leavings, are let be. */
    static List<String> of(String kind, List<String> names) {
        Pattern numbers = kind.equals(SNAPSHOT) ? TWO : ONE;
        List<String> found = new ArrayList<>();
        for (String name : names)
            if (name.startsWith(kind) && numbers.matcher(name.substring(kind.length())).matches())
                found.add(name);
        found.sort(null);
        return found;
    }

    static boolean isPart(String name) {
        return name.endsWith(PART)
                && (name.startsWith(LOG) || name.startsWith(MARK) || name.startsWith(SNAPSHOT));
    }
}
