// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import calicostream.config.ConfigFile;
import calicostream.net.NumericSocketAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The file that names the collector; {@code enterprise} is the number that the structured data's
 * names bear.
 */
public record SyslogConfig(
        InetSocketAddress collector, boolean tcp, int facility, int enterpriseNumber) {
    private static final int LOCAL0 = 16;
    private static final int EXAMPLE =
            32473; // the number that RFC 5612 sets aside for documentation

    /** Null where there is no such file or it leaves the records off. */
    public static SyslogConfig read(Path path) {
        return ConfigFile.readIfEnabled(
                path,
                root ->
                        new SyslogConfig(
                                NumericSocketAddress.parse(root.getString("collector", "")),
                                root.getString("transport", "udp").equals("tcp"),
                                root.getInt("facility", LOCAL0),
                                root.getInt("enterprise", EXAMPLE)));
    }
}
