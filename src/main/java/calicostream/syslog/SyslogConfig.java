// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import calicostream.config.ConfigFile;
import calicostream.config.SettingsException;
import calicostream.net.NumericSocketAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The configuration of the syslog records.
 *
 * @param collector where records are sent
 * @param tcp whether they are sent over TCP; over UDP else
 * @param facility the facility's number of RFC 5424
 * @param enterpriseNumber the private enterprise number in the names of structured data
 */
public record SyslogConfig(
        InetSocketAddress collector, boolean tcp, int facility, int enterpriseNumber) {
    private static final int FACILITY_LOCAL0 = 16;

    /** RFC 5612 reserves this number for documentation. */
    private static final int EXAMPLE_ENTERPRISE_NUMBER = 32473;

    /**
     * Reads the configuration file.
     *
     * @return null where the file does not exist or does not enable the records
     * @throws SettingsException where the file can't be used
     */
    public static SyslogConfig read(Path path) {
        return ConfigFile.readIfEnabled(
                path,
                root ->
                        new SyslogConfig(
                                NumericSocketAddress.parse(root.getString("collector", "")),
                                root.getString("transport", "udp").equals("tcp"),
                                root.getInt("facility", FACILITY_LOCAL0),
                                root.getInt("enterprise", EXAMPLE_ENTERPRISE_NUMBER)));
    }
}
