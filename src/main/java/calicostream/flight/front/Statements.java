// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.flight.engine.Lease;
import calicostream.flight.state.Handles;
import calicostream.flight.state.Prepared;
import calicostream.flight.state.Transactions.Purpose;
import calicostream.flight.state.Transactions.Txn;
import calicostream.flight.wire.Answers;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.Frame;
import calicostream.flight.wire.Work;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import io.grpc.Status;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.Channels;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.vector.ipc.ReadChannel;
import org.apache.arrow.vector.ipc.message.MessageSerializer;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * Prepared statements: made at an engine once, so that their schemas are known, and from then on
 * wherever they run.
 */
final class Statements {
    /**
     * A statement with the client's handle; {@code transaction} is empty, or the name of the one it
     * belongs to.
     */
    static final class Entry {
        final Prepared<List<Frame>, ByteString> core;
        final String action;
        final ByteString request; // as engines get it
        final String sql;
        final ByteString resultSchema;
        final ByteString parameterSchema;
        final ByteString transaction;

        private Entry(
                Prepared<List<Frame>, ByteString> core,
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

        Work.Bound bound(List<Frame> rows) {
            return new Work.Bound(core, action, request, rows);
        }
    }

    private final Desk desk;
    private final TransactionDesk transactions;
    private final Handles<Entry> all;

    Statements(Desk desk, TransactionDesk transactions) {
        this.desk = desk;
        this.transactions = transactions;
        all =
                new Handles<>(
                        desk::name,
                        desk.config.statements(),
                        desk.config.statementsPerClient(),
                        desk.config.statementKeptUs());
    }

    /** The statement, or null and the call told that there is none. */
    Entry find(Exchange<?> call, ByteString handle) {
        Entry found = all.get(desk.now(), call.owner, handle.toStringUtf8());
        if (found == null) {
            call.fail(Words.UNKNOWN_HANDLE, 0);
        }
        return found;
    }

    int size() {
        return all.size();
    }

    // ---- Making and closing
    // ---------------------------------------------------------------------------
    void create(
            Exchange<Flight.Result> call, FlightSql.ActionCreatePreparedStatementRequest request) {
        if (request.getQuery().isBlank()) {
            throw Commands.invalid("an empty statement");
        }
        Txn<ByteString> txn =
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
            Exchange<Flight.Result> call,
            FlightSql.ActionCreatePreparedSubstraitPlanRequest request) {
        Txn<ByteString> txn =
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
            Exchange<Flight.Result> call,
            String action,
            Message request,
            String sql,
            ByteString transaction,
            Txn<ByteString> txn) {
        ByteString packed = FlightWire.packed(request);
        Reply answer =
                new Reply.To<>(call) {
                    @Override
                    public void served(Object result) {
                        made(call, (Answers.Acted) result, action, packed, sql, transaction);
                    }
                };
        desk.submit(
                call,
                desk.metadataClass(),
                sql,
                new Work.Act(action, packed),
                txn == null ? 0 : txn.engine,
                txn == null ? answer : transactions.within(txn, true, answer));
    }

    private void made(
            Exchange<Flight.Result> call,
            Answers.Acted acted,
            String action,
            ByteString request,
            String sql,
            ByteString transaction) {
        FlightSql.ActionCreatePreparedStatementResult told;
        List<Prepared.Parameter> parameters;
        try {
            told =
                    acted.results().isEmpty()
                            ? FlightSql.ActionCreatePreparedStatementResult.getDefaultInstance()
                            : Any.parseFrom(acted.results().get(0))
                                    .unpack(FlightSql.ActionCreatePreparedStatementResult.class);
            parameters =
                    told.getParameterSchema().isEmpty()
                            ? null
                            : parameters(told.getParameterSchema());
        } catch (IOException | RuntimeException e) {
            call.fail(Status.INTERNAL.withDescription("the engine's statement can't be read"));
            return;
        }
        if (told.getPreparedStatementHandle().isEmpty()) {
            call.fail(Status.INTERNAL.withDescription("the engine named no statement"));
            return;
        }
        Prepared<List<Frame>, ByteString> core = new Prepared<>(parameters);
        core.bind(List.of());
        core.giveBack(acted.engine(), told.getPreparedStatementHandle());
        Entry entry =
                new Entry(
                        core,
                        action,
                        request,
                        sql,
                        told.getDatasetSchema(),
                        told.getParameterSchema(),
                        transaction);
        StringBuilder name = new StringBuilder();
        all.put(desk.now(), call.owner, entry, name).forEach(this::close);
        call.reply(
                TransactionDesk.result(
                        told.toBuilder()
                                .setPreparedStatementHandle(
                                        ByteString.copyFromUtf8(name.toString()))
                                .build()));
    }

    void close(
            Exchange<Flight.Result> call, FlightSql.ActionClosePreparedStatementRequest request) {
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
                                        each.engine(),
                                        FlightWire.CLOSE_PREPARED,
                                        Lease.closing(each.handle()),
                                        false));
    }

    void left(String owner) {
        all.removeAll(owner).forEach(this::close);
    }

    void look(long now) {
        all.expire(now).forEach(this::close);
    }

    void lost(long engine) {
        all.forEach(each -> each.core.lost(engine));
    }

    // ---- Parameters
    // -----------------------------------------------------------------------------------
    static Schema schema(byte[] bytes) throws IOException {
        return MessageSerializer.deserializeSchema(
                new ReadChannel(Channels.newChannel(new ByteArrayInputStream(bytes))));
    }

    private static List<Prepared.Parameter> parameters(ByteString schema) throws IOException {
        return parameters(schema(schema.toByteArray()));
    }

    private static List<Prepared.Parameter> parameters(Schema schema) {
        return schema.getFields().stream()
                .map(
                        field ->
                                new Prepared.Parameter(
                                        field.getName(),
                                        field.getType()
                                                + (field.getChildren().isEmpty()
                                                        ? ""
                                                        : field.getChildren().toString())))
                .toList();
    }

    /** Why these frames, schema first, can't be bound to the statement, or null. */
    static String fault(Entry statement, List<Frame> frames) {
        List<Prepared.Parameter> got = null;
        long rows = frames.stream().mapToLong(Frame::rows).sum();
        if (!frames.isEmpty()) {
            try {
                ByteArrayOutputStream ipc = new ByteArrayOutputStream();
                frames.get(0).writeIpc(ipc);
                got = parameters(schema(ipc.toByteArray()));
            } catch (IOException | RuntimeException e) {
                return "the parameters' schema can't be read";
            }
        }
        return statement.core.fault(got, rows);
    }

    /** Frames that can be sent any number of times, on any attempt. */
    static List<Frame> solid(List<Frame> frames) {
        List<Frame> out = new ArrayList<>();
        frames.forEach(frame -> out.add(frame.solid()));
        return List.copyOf(out);
    }

    static boolean isRead(ByteString schema) {
        try {
            return !schema.isEmpty() && !schema(schema.toByteArray()).getFields().isEmpty();
        } catch (IOException | RuntimeException e) {
            return true;
        }
    }
}
