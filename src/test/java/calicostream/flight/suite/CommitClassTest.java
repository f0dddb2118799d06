// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStatusCode;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A commit under a class that does not exist. */
class CommitClassTest {
    @TempDir Path folder;
    private FlightHarness rig;

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    /** The transaction was taken before the class was looked at, and never ended. */
    @Test
    void commitUnderAnUnknownClassIsRejectedAndLeavesTheTransactionOpen() throws Exception {
        rig = new FlightHarness(new Script(), 1, folder);
        FlightSqlClient client = rig.client();
        FlightSqlClient.Transaction transaction = client.beginTransaction(FlightOperations.LOOKUP);
        FlightRuntimeException told =
                assertThrows(
                        FlightRuntimeException.class,
                        () -> client.commit(transaction, FlightHarness.options("no-class")));
        assertEquals(FlightStatusCode.INVALID_ARGUMENT, told.status().code());
        client.commit(transaction, FlightOperations.LOAD);
        assertEquals(1, rig.count("commit"));
        assertEquals(0, rig.count("transactions"));
    }
}
