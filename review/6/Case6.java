// SPDX-License-Identifier: Apache-2.0
package review2;

import com.google.protobuf.ByteString;
import java.util.Map;

/**
 * A prepared load awards points to three players, one row each. The engine does not know the last
 * one and says so. No row may run twice.
 */
final class Case6 {
    private static final int FIRST = 7;
    private static final int SECOND = 8;
    private static final int LAST = 17;

    private Case6() {}

    public static void main(String[] args) {
        Rig.run("6", Case6::play);
    }

    private static boolean play(Rig rig) throws Exception {
        FlightEngine engine = rig.keep(new FlightEngine(rig, "engine"));
        engine.points().putAll(Map.of(FIRST, 0, SECOND, 0));
        if (!rig.trouble) {
            engine.points().put(LAST, 0);
        }
        ChangeLog log = rig.keep(new ChangeLog(rig, Map.of("s-00c41f7a", engine.port())));
        Rig.FrontEnd frontEnd = rig.flightFrontEnd(log, Map.of());
        FlightClient client = rig.keep(new FlightClient(rig, "client", frontEnd.flightPort()));
        client.warmUp();
        ByteString handle =
                client.prepare("call sales_17.award_point(?)");
        client.updatePrepared(handle, Rows.parameters(FIRST, SECOND, LAST), 20_000).get();
        Rig.sleep(1_000);
        boolean once = engine.points().values().stream().allMatch(each -> each <= 1);
        rig.note("check", "points " + engine.points() + ", no row ran twice: " + once);
        return once;
    }
}
