// SPDX-License-Identifier: Apache-2.0
package review2;

import com.google.protobuf.ByteString;
import java.util.Map;

/**
 * A prepared load awards a point to each of some players, one row each, run after run. In the last
 * run its engine does not know one of them and says so. No row may run twice.
 */
final class Case6 {
    private static final int RUNS = 12;
    private static final int ROWS = 3;
    private static final int UNKNOWN = 999;

    private Case6() {}

    public static void main(String[] args) {
        Rig.run("6", Case6::play);
    }

    private static boolean play(Rig rig) throws Exception {
        Map<String, FlightEngine> engines = rig.engines();
        for (FlightEngine engine : engines.values()) {
            for (int player = 0; player < RUNS * ROWS; player++) {
                engine.points().put(player, 0);
            }
        }
        Rig.FrontEnd frontEnd = rig.flightFrontEnd(rig.log(engines), Map.of());
        FlightClient client = rig.keep(new FlightClient(rig, "client", frontEnd.flightPort()));
        client.warmUp();
        ByteString handle = client.prepare("call sales_17.award_point(?)");
        for (int run = 0; run < RUNS; run++) {
            int first = run * ROWS;
            boolean fails = rig.trouble && run == RUNS - 1;
            client.updatePrepared(
                            handle,
                            Rows.parameters(first, first + 1, fails ? UNKNOWN : first + 2),
                            20_000)
                    .get();
        }
        Rig.sleep(1_000);
        boolean once = true;
        for (int player = 0; player < RUNS * ROWS; player++) {
            int points = 0;
            for (FlightEngine engine : engines.values()) {
                points += engine.points().get(player);
            }
            if (points > 1) {
                rig.note("check", "player " + player + " has " + points + " points");
                once = false;
            }
        }
        rig.note("check", "no row ran twice: " + once);
        return once;
    }
}
