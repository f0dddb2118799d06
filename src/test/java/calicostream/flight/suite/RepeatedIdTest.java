// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicostream.flight.suite.Script.Act;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.flight.CallOption;
import org.apache.arrow.flight.CallOptions;
import org.apache.arrow.flight.FlightCallHeaders;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStatusCode;
import org.apache.arrow.flight.HeaderCallOption;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A request whose id comes a second time. */
class RepeatedIdTest {
    @TempDir Path folder;
    private final Script script = new Script();
    private FlightHarness rig;

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    private static CallOption[] named(String id, int waitMillis) {
        FlightCallHeaders headers = new FlightCallHeaders();
        headers.insert("calicostream-class", "stat-load");
        headers.insert("x-request-id", id);
        return new CallOption[] {
            new HeaderCallOption(headers), CallOptions.timeout(waitMillis, TimeUnit.MILLISECONDS)
        };
    }

    /** A load ran twice when its id came again after its client had left. */
    @Test
    void loadThatMayHaveRunIsNotSentWhenItsIdComesAgain() throws Exception {
        rig = new FlightHarness(script, 2, folder);
        FlightSqlClient client = rig.client();
        script.next("put", Act.HANGS);
        assertThrows(
                FlightRuntimeException.class,
                () -> client.executeUpdate("insert into a.t", named("load-1", 1000)));
        assertEquals(1, rig.count("put"), "sent");
        rig.awaitFigure("calls", 0);
        FlightRuntimeException told =
                assertThrows(
                        FlightRuntimeException.class,
                        () -> client.executeUpdate("insert into a.t", named("load-1", 5000)));
        assertEquals(FlightStatusCode.INTERNAL, told.status().code());
        assertEquals(1, rig.count("put"), "sent");
        assertEquals(3, client.executeUpdate("insert into a.t", named("load-2", 5000)));
    }
}
