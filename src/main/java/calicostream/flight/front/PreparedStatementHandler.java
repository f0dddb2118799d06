// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.RequestResult;
import calicostream.flight.engine.PreparedStatementLease;
import calicostream.flight.state.EngineConnection;
import calicostream.flight.state.HandleTable;
import calicostream.flight.state.PreparedStatement;
import calicostream.flight.state.Transactions.Purpose;
import calicostream.flight.state.Transactions.Transaction;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.SchemaReader;
import calicostream.flight.wire.UnreadableSchemaException;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import io.grpc.Status;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * Prepared statements: made at an engine once, so that their schemas are known, and from then on
 * wherever they run.
 */
final class PreparedStatementHandler {
    /**
     * A statement with the client's handle; {@code transaction} is empty, or the name of the one it
     * belongs to.
     */
    static final class Entry {
        final PreparedStatement<List<FlightFrame>, ByteString> core;
        final String action;
        final ByteString request; // as engines get it
        final String sql;
        final ByteString resultSchema;
        final ByteString parameterSchema;
        final ByteString transaction;

        private Entry(
                PreparedStatement<List<FlightFrame>, ByteString> core,
                String action,
                ByteString request,
                String sql,
                ByteString resultSchema,
                ByteString parameterSchema,
                ByteString transaction) {
            this.core = core;
            this.action = action;
            this.request = request;
            this.sql = sql;
            this.resultSchema = resultSchema;
            this.parameterSchema = parameterSchema;
            this.transaction = transaction;
        }

        EngineOperation.Bound bound(List<FlightFrame> rows) {
            return new EngineOperation.Bound(core, action, request, rows);
        }
    }

    private final RequestDispatcher desk;
    private final TransactionHandler transactions;
    private final HandleTable<Entry> all;

    PreparedStatementHandler(RequestDispatcher desk, TransactionHandler transactions) {
        this.desk = desk;
        this.transactions = transactions;
        all =
                new HandleTable<>(
                        desk::name,
                        desk.config.statements(),
                        desk.config.statementsPerClient(),
                        desk.config.statementKeptUs());
    }

    /** The statement, or null and the call told that there is none. */
    Entry find(ServerCall<?> call, ByteString handle) {
        Entry found = all.get(desk.now(), call.owner, handle.toStringUtf8());
        if (found == null) {
            call.fail(FlightStatuses.UNKNOWN_HANDLE, 0);
        }
        return found;
    }

    int size() {
        return all.size();
    }

    // ---- Making and closing
    // ---------------------------------------------------------------------------
    void create(
            ServerCall<Flight.Result> call,
            FlightSql.ActionCreatePreparedStatementRequest request) {
        if (request.getQuery().isBlank()) {
            throw CommandDecoder.invalid("an empty statement");
        }
        Transaction<ByteString> txn =
                request.getTransactionId().isEmpty()
                        ? null
                        : transactions.use(call, request.getTransactionId(), Purpose.STATEMENT);
        if (txn != null || request.getTransactionId().isEmpty()) {
            Message sent =
                    txn == null
                            ? request
                            : request.toBuilder().setTransactionId(txn.handle).build();
            create(
                    call,
                    FlightWire.CREATE_PREPARED,
                    sent,
                    request.getQuery(),
                    request.getTransactionId(),
                    txn);
        }
    }

    void createPlan(
            ServerCall<Flight.Result> call,
            FlightSql.ActionCreatePreparedSubstraitPlanRequest request) {
        Transaction<ByteString> txn =
                request.getTransactionId().isEmpty()
                        ? null
                        : transactions.use(call, request.getTransactionId(), Purpose.STATEMENT);
        if (txn != null || request.getTransactionId().isEmpty()) {
            Message sent =
                    txn == null
                            ? request
                            : request.toBuilder().setTransactionId(txn.handle).build();
            create(
                    call,
                    FlightWire.CREATE_PREPARED_PLAN,
                    sent,
                    "",
                    request.getTransactionId(),
                    txn);
        }
    }

    private void create(
            ServerCall<Flight.Result> call,
            String action,
            Message request,
            String sql,
            ByteString transaction,
            Transaction<ByteString> txn) {
        ByteString packed = FlightWire.packed(request);
        ResponseCallback answer =
                new ResponseCallback.To<>(call) {
                    @Override
                    public void served(RequestResult result) {
                        made(call, (EngineResult.Acted) result, action, packed, sql, transaction);
                    }
                };
        desk.submit(
                call,
                desk.metadataClass(),
                sql,
                new EngineOperation.Act(action, packed),
                txn == null ? EngineConnection.ANY : txn.connection,
                txn == null ? answer : transactions.within(txn, true, answer));
    }

    private void made(
            ServerCall<Flight.Result> call,
            EngineResult.Acted acted,
            String action,
            ByteString request,
            String sql,
            ByteString transaction) {
        FlightSql.ActionCreatePreparedStatementResult told;
        List<PreparedStatement.Parameter> parameters;
        try {
            told =
                    acted.results().isEmpty()
                            ? FlightSql.ActionCreatePreparedStatementResult.getDefaultInstance()
                            : Any.parseFrom(acted.results().get(0))
                                    .unpack(FlightSql.ActionCreatePreparedStatementResult.class);
            parameters =
                    told.getParameterSchema().isEmpty()
                            ? null
                            : parameters(SchemaReader.readMessage(told.getParameterSchema()));
        } catch (IOException | RuntimeException e) {
            call.fail(Status.INTERNAL.withDescription("the engine's statement can't be read"));
            return;
        }
        if (told.getPreparedStatementHandle().isEmpty()) {
            call.fail(Status.INTERNAL.withDescription("the engine named no statement"));
            return;
        }
        PreparedStatement<List<FlightFrame>, ByteString> core = new PreparedStatement<>(parameters);
        core.bind(List.of());
        if (desk.engines.isCurrent(acted.connection())) {
            core.release(acted.connection().engine(), told.getPreparedStatementHandle());
        }
        Entry entry =
                new Entry(
                        core,
                        action,
                        request,
                        sql,
                        told.getDatasetSchema(),
                        told.getParameterSchema(),
                        transaction);
        if (call.isSessionClosed()) {
            close(entry);
            call.fail(FlightStatuses.SESSION_CLOSED);
            return;
        }
        StringBuilder name = new StringBuilder();
        all.put(desk.now(), call.owner, entry, name).forEach(this::close);
        call.reply(
                TransactionHandler.result(
                        told.toBuilder()
                                .setPreparedStatementHandle(
                                        ByteString.copyFromUtf8(name.toString()))
                                .build()));
    }

    void close(
            ServerCall<Flight.Result> call, FlightSql.ActionClosePreparedStatementRequest request) {
        Entry gone =
                all.remove(
                        desk.now(),
                        call.owner,
                        request.getPreparedStatementHandle().toStringUtf8());
        if (gone != null) {
            close(gone);
        }
        call.complete(); // To close what is closed is no mistake.
    }

    private void close(Entry gone) {
        gone.core
                .close()
                .forEach(
                        each ->
                                desk.engines.tidy(
                                        desk.engines.connection(each.engine()),
                                        FlightWire.CLOSE_PREPARED,
                                        PreparedStatementLease.closing(each.handle()),
                                        false));
    }

    void left(String owner) {
        all.removeAll(owner).forEach(this::close);
    }

    /** The engines that hold handles of statements. */
    Set<Long> enginesInUse() {
        Set<Long> out = new HashSet<>();
        all.forEach(each -> out.addAll(each.core.enginesInUse()));
        return out;
    }

    void look(long now) {
        all.expire(now).forEach(this::close);
    }

    void lost(long engine) {
        all.forEach(each -> each.core.engineLost(engine));
    }

    // ---- Parameters
    // -----------------------------------------------------------------------------------
    private static List<PreparedStatement.Parameter> parameters(Schema schema) {
        return schema.getFields().stream()
                .map(
                        field ->
                                new PreparedStatement.Parameter(
                                        field.getName(),
                                        field.getType()
                                                + (field.getChildren().isEmpty()
                                                        ? ""
                                                        : field.getChildren().toString())))
                .toList();
    }

    /** Why these frames, schema first, can't be bound to the statement, or null. */
    static String fault(Entry statement, List<FlightFrame> frames) {
        List<PreparedStatement.Parameter> got = null;
        long rows = frames.stream().mapToLong(FlightFrame::rows).sum();
        if (!frames.isEmpty()) {
            try {
                got = parameters(SchemaReader.read(frames.get(0)));
            } catch (UnreadableSchemaException e) {
                return "the parameters' schema can't be read: " + e.getMessage();
            }
        }
        return statement.core.parameterError(got, rows);
    }

    /** Frames that can be sent any number of times, on any attempt. */
    static List<FlightFrame> solid(List<FlightFrame> frames) {
        List<FlightFrame> out = new ArrayList<>();
        frames.forEach(frame -> out.add(frame.solid()));
        return List.copyOf(out);
    }

    static boolean isRead(ByteString schema) {
        try {
            return !schema.isEmpty() && !SchemaReader.readMessage(schema).getFields().isEmpty();
        } catch (UnreadableSchemaException e) {
            return true;
        }
    }
}
