// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** One message of RFC 5424 with one element of structured data. */
final class SyslogRecord {
    static final int WARNING = 4;
    static final int NOTICE = 5;
    static final int INFO = 6;
    private final StringBuilder text = new StringBuilder(256);

    SyslogRecord(
            int facility,
            int severity,
            Instant at,
            String host,
            String process,
            String messageId,
            String element) {
        text.append('<')
                .append(facility * 8 + severity)
                .append(">1 ")
                .append(at.truncatedTo(ChronoUnit.MICROS))
                .append(' ')
                .append(name(host, 255))
                .append(" calicostream ")
                .append(name(process, 128))
                .append(' ')
                .append(messageId)
                .append(" [")
                .append(element);
    }

    /**
     * A parameter; quotes, backslashes and closing brackets in its value are escaped, as the RFC
     * demands.
     */
    SyslogRecord with(String name, Object value) {
        text.append(' ').append(name).append("=\"");
        String raw = value.toString();
        for (int i = 0; i < raw.length(); i++) {
            char c = raw.charAt(i);
            if (c == '"' || c == '\\' || c == ']') {
                text.append('\\');
            }
            text.append(c);
        }
        text.append('"');
        return this;
    }

    byte[] bytes() {
        return (text + "]").getBytes(StandardCharsets.UTF_8);
    }

    /** A header field: printable ASCII without spaces, "-" where there is none. */
    private static String name(String text, int most) {
        String printable = text.replaceAll("[^!-~]", "_");
        return printable.isEmpty()
                ? "-"
                : printable.substring(0, Math.min(most, printable.length()));
    }
}
