// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.flight.ArrowRows;
import calicostream.flight.FrameListener;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import org.apache.arrow.flight.sql.SqlInfoBuilder;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.vector.UInt4Vector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamReader;

/**
 * What the front end tells of itself: what it decides it answers itself, all the rest (the SQL that
 * engines speak, their limits) is theirs. What needs an engine's word is read from there.
 */
final class SqlInfo {
    private static final int SUBSTRAIT = FlightSql.SqlInfo.FLIGHT_SQL_SERVER_SUBSTRAIT_VALUE;
    private static final Set<Integer> THEIRS =
            Set.of(
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_READ_ONLY_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_SQL_VALUE,
                    SUBSTRAIT,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_SUBSTRAIT_MIN_VERSION_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_SUBSTRAIT_MAX_VERSION_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_TRANSACTION_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_BULK_INGESTION_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_INGEST_TRANSACTIONS_SUPPORTED_VALUE);
    private static final int OWN_BELOW = 500; // From there on it is the SQL that engines speak.
    private static final ByteString ALL =
            FlightWire.packed(FlightSql.CommandGetSqlInfo.getDefaultInstance());
    private final RequestDispatcher desk;
    private final CatalogHandler catalogs;
    private final ExecutorService workers;

    SqlInfo(RequestDispatcher desk, CatalogHandler catalogs, ExecutorService workers) {
        this.desk = desk;
        this.catalogs = catalogs;
        this.workers = workers;
    }

    private SqlInfoBuilder own() {
        SqlInfoBuilder out =
                new SqlInfoBuilder()
                        .withFlightSqlServerName("calicostream")
                        .withFlightSqlServerVersion("0.2.0")
                        .withFlightSqlServerArrowVersion("18.3.0")
                        .withFlightSqlServerCancel(true)
                        .withFlightSqlServerStatementTimeout(0)
                        .withFlightSqlServerTransactionTimeout(
                                (int) (desk.config.transactionIdleUs() / 1000));
        return desk.engines != null
                ? out
                : out.withFlightSqlServerReadOnly(false)
                        .withFlightSqlServerSql(true)
                        .withFlightSqlServerSubstrait(false)
                        .withFlightSqlServerBulkIngestion(false)
                        .withFlightSqlServerTransaction(
                                FlightSql.SqlSupportedTransaction.SQL_SUPPORTED_TRANSACTION_NONE);
    }

    private static final Set<Integer> OWN =
            Set.of(
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_NAME_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_VERSION_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_ARROW_VERSION_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_CANCEL_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_STATEMENT_TIMEOUT_VALUE,
                    FlightSql.SqlInfo.FLIGHT_SQL_SERVER_TRANSACTION_TIMEOUT_VALUE);

    void frames(
            ServerCall<?> call,
            FlightSql.CommandGetSqlInfo command,
            Consumer<CatalogHandler.Told> then) {
        Set<Integer> wanted = new HashSet<>(command.getInfoList());
        if (desk.engines == null) {
            work(call, wanted, null, then);
            return;
        }
        catalogs.frames(
                call,
                ALL,
                told -> {
                    boolean none =
                            told.status() != null
                                    && told.status().getCode() == io.grpc.Status.Code.UNIMPLEMENTED;
                    if (told.status() != null && !none) {
                        then.accept(told);
                    } else {
                        work(call, wanted, none ? null : framesOf(told), then);
                    }
                });
    }

    @SuppressWarnings("unchecked")
    private static List<FlightFrame> framesOf(CatalogHandler.Told told) {
        return (List<FlightFrame>) told.answer();
    }

    /** Rows are put together off the loop. */
    private void work(
            ServerCall<?> call,
            Set<Integer> wanted,
            List<FlightFrame> theirs,
            Consumer<CatalogHandler.Told> then) {
        workers.execute(
                () -> {
                    CatalogHandler.Told told;
                    try {
                        told = new CatalogHandler.Told(together(wanted, theirs), null, -1);
                    } catch (IOException | RuntimeException | Error e) {
                        told =
                                new CatalogHandler.Told(
                                        null,
                                        io.grpc.Status.INTERNAL.withDescription(
                                                "the engine's information can't be read"),
                                        -1);
                    }
                    CatalogHandler.Told result = told;
                    desk.loop.post(
                            () -> {
                                if (!call.isOver()) {
                                    call.run(() -> then.accept(result));
                                }
                            });
                });
    }

    private List<FlightFrame> together(Set<Integer> wanted, List<FlightFrame> theirs)
            throws IOException {
        List<FlightFrame> out = new ArrayList<>();
        List<Integer> ids = new ArrayList<>(desk.engines != null ? OWN : all());
        ids.removeIf(id -> !wanted.isEmpty() && !wanted.contains(id));
        own().send(ids, new FrameListener(out));
        if (theirs != null) {
            try (ArrowStreamReader reader = ArrowRows.reader(theirs)) {
                VectorSchemaRoot from = reader.getVectorSchemaRoot();
                while (reader.loadNextBatch()) {
                    add(from, wanted, out);
                }
            }
        }
        return out;
    }

    private static Set<Integer> all() {
        Set<Integer> out = new HashSet<>(OWN);
        out.addAll(THEIRS);
        out.remove(FlightSql.SqlInfo.FLIGHT_SQL_SERVER_SUBSTRAIT_MIN_VERSION_VALUE);
        out.remove(FlightSql.SqlInfo.FLIGHT_SQL_SERVER_SUBSTRAIT_MAX_VERSION_VALUE);
        out.remove(FlightSql.SqlInfo.FLIGHT_SQL_SERVER_INGEST_TRANSACTIONS_SUPPORTED_VALUE);
        return out;
    }

    /** A batch a row: the library can slice a union, but not copy one. */
    private static void add(VectorSchemaRoot from, Set<Integer> wanted, List<FlightFrame> out) {
        for (int i = 0; i < from.getRowCount(); i++) {
            int id = ((UInt4Vector) from.getVector(0)).get(i);
            boolean theirs = id >= OWN_BELOW || THEIRS.contains(id);
            if (theirs && (wanted.isEmpty() || wanted.contains(id))) {
                try (VectorSchemaRoot row = from.slice(i, 1)) {
                    out.add(ArrowRows.batch(row));
                }
            }
        }
    }

    /**
     * Goes on where an engine says that it takes Substrait plans; else the call is told that none
     * does.
     */
    void ifSubstrait(ServerCall<?> call, Runnable then) {
        if (desk.engines == null) {
            call.fail(FlightStatuses.unsupported("these engines take no Substrait plans"));
            return;
        }
        catalogs.frames(
                call,
                ALL,
                told -> {
                    if (told.status() != null) {
                        call.fail(told.status(), told.stayAwayMs());
                        return;
                    }
                    boolean yes = false;
                    try (ArrowStreamReader reader = ArrowRows.reader(framesOf(told))) {
                        VectorSchemaRoot root = reader.getVectorSchemaRoot();
                        while (reader.loadNextBatch()) {
                            for (int i = 0; i < root.getRowCount(); i++) {
                                boolean here =
                                        ((UInt4Vector) root.getVector(0)).get(i) == SUBSTRAIT;
                                yes |= here && Boolean.TRUE.equals(root.getVector(1).getObject(i));
                            }
                        }
                    } catch (IOException | RuntimeException e) {
                        yes = false;
                    }
                    if (yes) {
                        then.run();
                    } else {
                        call.fail(
                                FlightStatuses.unsupported(
                                        "these engines take no Substrait plans"));
                    }
                });
    }
}
