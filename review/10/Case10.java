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

    /** As long as a usual report. */
    private static final long GET_MILLIS = 4_400;

    private static final long TOKEN_LIFE_MILLIS = 10_000;
    private static final long BEFORE_ITS_END_MILLIS = 2_500;

    /** After which a report is given up. */
    private static final long REPORT_MILLIS = 20_000;

    /** SHA-512 crypt of the password "kickoff". */
    private static final String HASH = "$6$leagueday$4znfYCjTBd8UzGFPSoHdfUdusddHghthq1bPdOfPm92TEJwGV1TNhXiad6Drj1ifLj2fV77EtxA4bxDdcPbsc.";

    private Case10() {}

    public static void main(String[] args) {
        Rig.run("10", Case10::play);
    }

    private static boolean play(Rig rig) throws Exception {
        Map<String, FlightEngine> engines = rig.engines();
        rig.write("users", "east-app:" + HASH + "\n");
        Rig.FrontEnd frontEnd =
                rig.flightFrontEnd(
                        rig.log(engines),
                        Map.of(
                                "users",
                                "\"users\"",
                                "token_life_s",
                                Long.toString(TOKEN_LIFE_MILLIS / 1000)));
        int port = frontEnd.flightPort();
        FlightClient reader = rig.keep(new FlightClient(rig, "reader", port));
        FlightClient other = rig.keep(new FlightClient(rig, "other", port));
        reader.withToken(FlightClient.login(rig, port, "east-app", "kickoff")).warmUp();
        engines.values().forEach(engine -> engine.takes(FlightEngine.GET, GET_MILLIS));
        reader.withToken(FlightClient.login(rig, port, "east-app", "kickoff")).ofClass("report");
        long loggedInAt = rig.millis();
        Flight.Ticket ticket = (Flight.Ticket) reader.info(QUERY, 10_000).get().value();
        Rig.sleep(loggedInAt + TOKEN_LIFE_MILLIS - BEFORE_ITS_END_MILLIS - rig.millis());
        CompletableFuture<FlightClient.End> reading =
                reader.get(QUERY, ticket, REPORT_MILLIS + Rig.LATE_MILLIS, 0);
        Rig.sleep(300);
        other.withToken(FlightClient.login(rig, port, "east-app", "kickoff"));
        Rig.sleep(loggedInAt + TOKEN_LIFE_MILLIS + 500 - rig.millis());
        if (reading.isDone()) {
            throw new IllegalStateException("the query ended before the session could be closed");
        }
        if (rig.trouble) {
            other.action(
                            "close session",
                            "CloseSession",
                            Flight.CloseSessionRequest.getDefaultInstance().toByteString(),
                            10_000)
                    .get();
        }
        boolean answered = reading.get().inTime();
        rig.note("check", "the query was answered in its time or soon after: " + answered);
        return answered;
    }
}
