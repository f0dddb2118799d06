// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import calicostream.flight.ArrowRows;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.arrow.flight.CallOption;
import org.apache.arrow.flight.CallStatus;
import org.apache.arrow.flight.FlightEndpoint;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStatusCode;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.flight.sql.util.TableRef;
import org.apache.arrow.vector.IntVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamReader;
import org.apache.arrow.vector.ipc.ArrowStreamWriter;

/**
 * What clients do, each with the kind of the engine's call that the case is about, and what comes
 * of it in one word.
 */
final class FlightOperations {
    /** Does it; {@code arm} is run just before the step that the case is about. */
    interface Op {
        String run(FlightSqlClient client, Runnable arm) throws Exception;
    }

    static final CallOption[] LOOKUP = FlightHarness.options("lookup");
    static final CallOption[] LOAD = FlightHarness.options("stat-load");
    static final Map<String, Op> ALL = new LinkedHashMap<>();

    static {
        ALL.put(
                "query",
                (client, arm) -> {
                    arm.run();
                    return rows(client, client.execute("select rows=3", LOOKUP), 3);
                });
        ALL.put(
                "stream",
                (client, arm) -> {
                    arm.run();
                    return rows(
                            client,
                            client.execute("select rows=400000 batch=1000 width=8", LOOKUP),
                            400_000);
                });
        ALL.put(
                "parts",
                (client, arm) -> {
                    arm.run();
                    return rows(client, client.execute("select rows=2 parts=3", LOOKUP), -1);
                });
        ALL.put(
                "empty",
                (client, arm) -> {
                    arm.run();
                    return rows(client, client.execute("select rows=0", LOOKUP), 0);
                });
        ALL.put(
                "update",
                (client, arm) -> {
                    arm.run();
                    return client.executeUpdate("insert into a.t", LOAD) == 3 ? "ok" : "wrong";
                });
        ALL.put(
                "prepare",
                (client, arm) -> {
                    arm.run();
                    try (FlightSqlClient.PreparedStatement made =
                            client.prepare("select rows=2", LOOKUP)) {
                        return made.getResultSetSchema().getFields().size() == 2 ? "ok" : "wrong";
                    }
                });
        ALL.put("prepared-query", (client, arm) -> prepared(client, arm, false));
        ALL.put("prepared-bind", (client, arm) -> prepared(client, arm, true));
        ALL.put(
                "prepared-update",
                (client, arm) -> {
                    try (FlightSqlClient.PreparedStatement made =
                                    client.prepare("insert ?", LOOKUP);
                            VectorSchemaRoot root = Data.bound(7)) {
                        made.setParameters(root);
                        arm.run();
                        return made.executeUpdate(LOAD) == 1 ? "ok" : "wrong";
                    }
                });
        ALL.put(
                "begin",
                (client, arm) -> {
                    arm.run();
                    return client.beginTransaction(LOOKUP).getTransactionId().length > 0
                            ? "ok"
                            : "wrong";
                });
        ALL.put(
                "commit",
                (client, arm) -> {
                    FlightSqlClient.Transaction txn = client.beginTransaction(LOOKUP);
                    client.executeUpdate("insert", txn, LOAD);
                    arm.run();
                    client.commit(txn, LOAD);
                    return "ok";
                });
        ALL.put(
                "rollback",
                (client, arm) -> {
                    FlightSqlClient.Transaction txn = client.beginTransaction(LOOKUP);
                    arm.run();
                    client.rollback(txn, LOOKUP);
                    return "ok";
                });
        ALL.put(
                "txn-query",
                (client, arm) -> {
                    FlightSqlClient.Transaction txn = client.beginTransaction(LOOKUP);
                    arm.run();
                    return rows(client, client.execute("select rows=3", txn, LOOKUP), 3);
                });
        ALL.put(
                "txn-update",
                (client, arm) -> {
                    FlightSqlClient.Transaction txn = client.beginTransaction(LOOKUP);
                    arm.run();
                    return client.executeUpdate("insert", txn, LOAD) == 3 ? "ok" : "wrong";
                });
        ALL.put(
                "savepoint",
                (client, arm) -> {
                    FlightSqlClient.Transaction txn = client.beginTransaction(LOOKUP);
                    arm.run();
                    FlightSqlClient.Savepoint point = client.beginSavepoint(txn, "s", LOOKUP);
                    FlightSqlClient.Savepoint later = client.beginSavepoint(txn, "later", LOOKUP);
                    client.rollback(later, LOOKUP);
                    client.release(point, LOOKUP);
                    client.commit(txn, LOAD);
                    return "ok";
                });
        ALL.put("catalogs", metadata(client -> client.getCatalogs(LOOKUP)));
        ALL.put("schemas", metadata(client -> client.getSchemas(null, null, LOOKUP)));
        ALL.put(
                "tables",
                metadata(client -> client.getTables(null, null, null, null, false, LOOKUP)));
        ALL.put("table-types", metadata(client -> client.getTableTypes(LOOKUP)));
        ALL.put(
                "primary-keys",
                metadata(client -> client.getPrimaryKeys(TableRef.of(null, null, "t"), LOOKUP)));
        ALL.put(
                "exported-keys",
                metadata(client -> client.getExportedKeys(TableRef.of(null, null, "t"), LOOKUP)));
        ALL.put(
                "imported-keys",
                metadata(client -> client.getImportedKeys(TableRef.of(null, null, "t"), LOOKUP)));
        ALL.put(
                "cross-reference",
                metadata(
                        client ->
                                client.getCrossReference(
                                        TableRef.of(null, null, "t"),
                                        TableRef.of(null, null, "u"),
                                        LOOKUP)));
        ALL.put("type-info", metadata(client -> client.getXdbcTypeInfo(LOOKUP)));
        ALL.put(
                "sql-info",
                (client, arm) -> {
                    arm.run();
                    return rows(
                            client,
                            client.getSqlInfo(
                                    new FlightSql.SqlInfo[] {
                                        FlightSql.SqlInfo.SQL_IDENTIFIER_QUOTE_CHAR
                                    },
                                    LOOKUP),
                            -1);
                });
        ALL.put(
                "schema",
                (client, arm) -> {
                    arm.run();
                    return client.getExecuteSchema("select rows=1", LOOKUP)
                                    .getSchema()
                                    .equals(Data.ROWS)
                            ? "ok"
                            : "wrong";
                });
        ALL.put(
                "substrait",
                (client, arm) -> {
                    arm.run();
                    return rows(
                            client,
                            client.executeSubstrait(
                                    new FlightSqlClient.SubstraitPlan(new byte[] {1}, "0.1"),
                                    LOOKUP),
                            2);
                });
        ALL.put(
                "ingest",
                (client, arm) -> {
                    arm.run();
                    return ingest(client, 5, 10) == 50 ? "ok" : "wrong";
                });
    }

    private FlightOperations() {}

    private interface Metadata {
        FlightInfo ask(FlightSqlClient client);
    }

    private static Op metadata(Metadata what) {
        return (client, arm) -> {
            arm.run();
            return rows(client, what.ask(client), 1);
        };
    }

    private static String prepared(FlightSqlClient client, Runnable arm, boolean bind)
            throws Exception {
        try (FlightSqlClient.PreparedStatement made =
                        client.prepare(bind ? "select rows=2 ?" : "select rows=2", LOOKUP);
                VectorSchemaRoot root = Data.bound(41)) {
            if (bind) {
                made.setParameters(root);
            }
            arm.run();
            FlightInfo info = made.execute(LOOKUP);
            List<Integer> got = ids(client, info);
            return got.equals(bind ? List.of(41, 42) : List.of(0, 1)) ? "ok" : "wrong " + got;
        }
    }

    static long ingest(FlightSqlClient client, int batches, int rows) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (VectorSchemaRoot root =
                        VectorSchemaRoot.create(Data.parameters(1), ArrowRows.ALLOCATOR);
                ArrowStreamWriter writer = new ArrowStreamWriter(root, null, out)) {
            for (int i = 0; i < batches; i++) {
                for (int row = 0; row < rows; row++) {
                    ((IntVector) root.getVector(0)).setSafe(row, row);
                }
                root.setRowCount(rows);
                writer.writeBatch();
            }
        }
        try (ArrowStreamReader reader =
                new ArrowStreamReader(
                        new ByteArrayInputStream(out.toByteArray()), ArrowRows.ALLOCATOR)) {
            return client.executeIngest(
                    reader,
                    new FlightSqlClient.ExecuteIngestOptions(
                            "t",
                            FlightSql.CommandStatementIngest.TableDefinitionOptions
                                    .getDefaultInstance(),
                            null,
                            null,
                            null),
                    LOAD);
        }
    }

    /** All of a result: ok where it has so many rows, or any where below 0. */
    static String rows(FlightSqlClient client, FlightInfo info, long wanted) throws Exception {
        long rows = 0;
        for (FlightEndpoint endpoint : info.getEndpoints()) {
            try (FlightStream stream = client.getStream(endpoint.getTicket(), LOOKUP)) {
                while (stream.next()) {
                    rows += stream.getRoot().getRowCount();
                }
            }
        }
        return wanted < 0 ? rows > 0 ? "ok" : "wrong" : rows == wanted ? "ok" : "wrong " + rows;
    }

    static List<Integer> ids(FlightSqlClient client, FlightInfo info) throws Exception {
        List<Integer> out = new ArrayList<>();
        for (FlightEndpoint endpoint : info.getEndpoints()) {
            try (FlightStream stream = client.getStream(endpoint.getTicket(), LOOKUP)) {
                while (stream.next()) {
                    for (int i = 0; i < stream.getRoot().getRowCount(); i++) {
                        out.add((Integer) stream.getRoot().getVector("id").getObject(i));
                    }
                }
            }
        }
        return out;
    }

    /** Runs it, and says in one word what came of it. */
    static String outcome(Op op, FlightSqlClient client, Runnable arm) {
        try {
            return op.run(client, arm);
        } catch (FlightRuntimeException e) {
            return word(e.status());
        } catch (Exception e) {
            return e.getCause() instanceof FlightRuntimeException cause
                    ? word(cause.status())
                    : "broken";
        }
    }

    static String word(CallStatus status) {
        boolean wait =
                status.metadata() != null
                        && status.metadata().containsKey("grpc-retry-pushback-ms");
        boolean dead = String.valueOf(status.description()).contains("is dead");
        return status.code() == FlightStatusCode.UNAVAILABLE && wait
                ? "refused"
                : dead
                        ? "dead"
                        : status.code() == FlightStatusCode.INTERNAL
                                ? "failed"
                                : status.code().toString().toLowerCase();
    }

    /**
     * Polls a query to its end, then reads it; by gRPC alone, as Arrow's client has no call for it.
     */
    static String poll(
            FlightServiceGrpc.FlightServiceBlockingStub stub,
            FlightSqlClient client,
            String sql,
            int rows)
            throws Exception {
        Flight.FlightDescriptor next =
                calicostream.flight.wire.FlightWire.descriptor(
                        calicostream.flight.wire.FlightWire.packed(
                                FlightSql.CommandStatementQuery.newBuilder()
                                        .setQuery(sql)
                                        .build()));
        for (int i = 0; i < 100; i++) {
            Flight.PollInfo told = stub.pollFlightInfo(next);
            if (!told.hasFlightDescriptor()) {
                long got = 0;
                for (Flight.FlightEndpoint endpoint : told.getInfo().getEndpointList()) {
                    try (FlightStream stream =
                            client.getStream(
                                    new org.apache.arrow.flight.Ticket(
                                            endpoint.getTicket().getTicket().toByteArray()),
                                    LOOKUP)) {
                        while (stream.next()) {
                            got += stream.getRoot().getRowCount();
                        }
                    }
                }
                return got == rows ? "ok" : "wrong " + got;
            }
            next = told.getFlightDescriptor();
        }
        return "endless";
    }
}
