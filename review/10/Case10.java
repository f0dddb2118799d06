// SPDX-License-Identifier: Apache-2.0
package review2;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.arrow.flight.impl.Flight;

/**
 * Two programs share a user and have a session each. One closes its own while a query of the other
 * runs. The query must get its answer.
 */
final class Case10 {
    private static final String QUERY = "select rows=5";
    private static final long GET_MILLIS = 3_500;
    private static final long DEADLINE_MILLIS = 10_000;
    private static final long TOKEN_LIFE_MILLIS = 6_000;

    /** SHA-512 crypt of the password "kickoff". */
    private static final String HASH = "$6$leagueday$4znfYCjTBd8UzGFPSoHdfUdusddHghthq1bPdOfPm92TEJwGV1TNhXiad6Drj1ifLj2fV77EtxA4bxDdcPbsc.";

    private Case10() {}

    public static void main(String[] args) {
        Rig.run("10", Case10::play);
    }

    private static boolean play(Rig rig) throws Exception {
        FlightEngine engine = rig.keep(new FlightEngine(rig, "engine"));
        ChangeLog log = rig.keep(new ChangeLog(rig, Map.of("s-00c41f7a", engine.port())));
        rig.write("users", "east-app:" + HASH + "\n");
        Rig.FrontEnd frontEnd =
                rig.flightFrontEnd(
                        log,
                        Map.of(
                                "users",
                                "\"users\"",
                                "token_life_s",
                                Long.toString(TOKEN_LIFE_MILLIS / 1000)));
        int port = frontEnd.flightPort();
        FlightClient reader = rig.keep(new FlightClient(rig, "reader", port));
        FlightClient other = rig.keep(new FlightClient(rig, "other", port));
        // Both served once, under a session each, which then have their full time.
        reader.withToken(FlightClient.login(rig, port, "east-app", "kickoff")).warmUp();
        engine.takes(FlightEngine.GET, GET_MILLIS);
        reader.withToken(FlightClient.login(rig, port, "east-app", "kickoff"));
        long loggedInAt = rig.millis();
        Flight.Ticket ticket = (Flight.Ticket) reader.info(QUERY, DEADLINE_MILLIS).get().value();
        Rig.sleep(loggedInAt + TOKEN_LIFE_MILLIS - 1_500 - rig.millis());
        CompletableFuture<FlightClient.End> reading =
                reader.get(QUERY, ticket, DEADLINE_MILLIS, 0);
        Rig.sleep(500);
        other.withToken(FlightClient.login(rig, port, "east-app", "kickoff"));
        Rig.sleep(loggedInAt + TOKEN_LIFE_MILLIS + 700 - rig.millis());
        if (rig.trouble) {
            other.action(
                            "close session",
                            "CloseSession",
                            Flight.CloseSessionRequest.getDefaultInstance().toByteString(),
                            DEADLINE_MILLIS)
                    .get();
        }
        boolean answered = reading.get().inTime();
        rig.note("check", "the query was answered before its client gave up: " + answered);
        return answered;
    }
}
