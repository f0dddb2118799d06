// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

/** The severities of RFC 5424 that are in use. */
enum SyslogSeverity {
    WARNING(4),
    NOTICE(5),
    INFO(6);

    private final int code;

    SyslogSeverity(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
