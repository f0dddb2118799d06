// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Builds one message of RFC 5424 with one element of structured data. */
final class SyslogRecord {
    private static final String APP_NAME = "calicostream";
    private static final int FACILITY_FACTOR = 8;
    private static final int MAX_HOST_LENGTH = 255;
    private static final int MAX_PROCESS_LENGTH = 128;
    private static final int TYPICAL_LENGTH = 256;
    private static final String NIL = "-";

    private final StringBuilder text = new StringBuilder(TYPICAL_LENGTH);

    /**
     * Starts a record.
     *
     * @param element the structured data's name, with the enterprise number
     */
    SyslogRecord(
            int facility,
            SyslogSeverity severity,
            Instant time,
            String host,
            String process,
            String messageId,
            String element) {
        text.append('<')
                .append(facility * FACILITY_FACTOR + severity.code())
                .append(">1 ")
                .append(time.truncatedTo(ChronoUnit.MICROS))
                .append(' ')
                .append(headerField(host, MAX_HOST_LENGTH))
                .append(' ')
                .append(APP_NAME)
                .append(' ')
                .append(headerField(process, MAX_PROCESS_LENGTH))
                .append(' ')
                .append(messageId)
                .append(" [")
                .append(element);
    }

    /** Adds a parameter with a number. */
    SyslogRecord with(String name, long value) {
        return with(name, Long.toString(value));
    }

    /** Adds a parameter; RFC 5424 demands that some characters of its value are escaped. */
    SyslogRecord with(String name, String value) {
        text.append(' ').append(name).append("=\"");
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\' || c == ']') {
                text.append('\\');
            }
            text.append(c);
        }
        text.append('"');
        return this;
    }

    byte[] toBytes() {
        return (text + "]").getBytes(StandardCharsets.UTF_8);
    }

    /** A header field is printable ASCII without spaces, and not empty. */
    private static String headerField(String value, int maxLength) {
        String printable = value.replaceAll("[^!-~]", "_");
        if (printable.isEmpty()) {
            return NIL;
        }
        return printable.substring(0, Math.min(maxLength, printable.length()));
    }
}
