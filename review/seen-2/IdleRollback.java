// SPDX-License-Identifier: Apache-2.0
package review2;

import java.util.Map;

/**
 * No case: seen beside the five. A client begins a transaction and goes. The engine is to be told
 * of the rollback after the idle time, also where nothing else was sent to it meanwhile.
 */
final class IdleRollback {
    private static final long IDLE_MILLIS = 60_000;

    private IdleRollback() {}

    public static void main(String[] args) {
        Rig.run("seen-2", IdleRollback::play);
    }

    private static boolean play(Rig rig) throws Exception {
        FlightEngine engine = rig.keep(new FlightEngine(rig, "engine"));
        ChangeLog log = rig.keep(new ChangeLog(rig, Map.of("engine", engine.port())));
        Rig.FrontEnd frontEnd = rig.flightFrontEnd(log, Map.of());
        FlightClient client = rig.keep(new FlightClient(rig, "client", frontEnd.flightPort()));
        client.warmUp();
        client.begin(10_000).get();
        long until = rig.millis() + IDLE_MILLIS + 4_000;
        while (rig.millis() < until) {
            if (!rig.trouble) {
                client.info("select " + rig.millis(), 4_000).get();
            }
            Rig.sleep(2_000);
        }
        rig.note("check", engine.openTransactions() + " of 1 transaction open at its engine");
        return engine.openTransactions() == 0;
    }
}
