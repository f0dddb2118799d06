// SPDX-License-Identifier: Apache-2.0
package calicostream.flight;

import calicostream.platform.ConfigFile;
import calicostream.platform.Roster;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The file that enables Flight SQL. {@code flightEngines}: engines are reached by Flight SQL, not RESP.
 * The classes are those of statements whose caller names none.
 */
public record FlightConfig(InetSocketAddress listen, boolean flightEngines, String queryClass, String updateClass,
        int mostResultBytes) {
    private static final int USUAL_RESULT = 4 << 20;

    /** Null where there is no such file or it leaves Flight SQL off. */
    public static FlightConfig read(Path path) {
        return ConfigFile.enabled(path, root -> new FlightConfig(
                Roster.address(root.getString("listen", "127.0.0.1:32010")),
                root.getString("engines", "flight").equals("flight"), root.getString("query_class", "lookup"),
                root.getString("update_class", "stat-load"), root.getInt("max_result_bytes", USUAL_RESULT)));
    }
}
