// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.FailureReason;
import calicostream.core.RequestResult;
import calicostream.flight.state.CatalogChangeDetector;
import calicostream.flight.state.EngineConnection;
import calicostream.flight.state.Transactions.Purpose;
import calicostream.flight.state.Transactions.Transaction;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.Upload;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * One DoPut of a client. The first frame says what it is: an update, parameters of a prepared
 * statement, or rows to store. Frames are drawn one at a time; those of an upload pass to the
 * engine on gRPC's threads, all else is the loop's.
 */
final class DoPutHandler {
    private final RequestDispatcher desk;
    private final TransactionHandler transactions;
    private final PreparedStatementHandler statements;
    private final CatalogHandler catalogs;
    private final SqlInfo info;
    private final ServerCall<Flight.PutResult> call;
    private volatile Upload upload;
    private List<FlightFrame> frames = new ArrayList<>();
    private long bytes;
    private Any command;
    private String name = "";
    private final AtomicLong here = new AtomicLong();

    DoPutHandler(
            RequestDispatcher desk,
            TransactionHandler transactions,
            PreparedStatementHandler statements,
            CatalogHandler catalogs,
            SqlInfo info,
            ServerCall<Flight.PutResult> call) {
        this.desk = desk;
        this.transactions = transactions;
        this.statements = statements;
        this.catalogs = catalogs;
        this.info = info;
        this.call = call;
    }

    /** On the loop, once the call is let in. */
    void begin() {
        call.atEnd(this::release);
        call.setWaitingForClient(true);
        call.out.request(1);
    }

    /** What has arrived and not gone on; past its bound new calls are turned away. */
    private void charge(FlightFrame frame) {
        desk.admission.charge(frame.bytes());
        here.addAndGet(frame.bytes());
    }

    private void release() {
        desk.admission.release(here.getAndSet(0));
    }

    // ---- From the client, on gRPC's threads
    // -----------------------------------------------------------
    void arrived(FlightFrame frame) {
        charge(frame);
        Upload to = upload;
        if (to != null) {
            pass(to, frame);
        } else {
            desk.loop.post(() -> call.run(() -> take(frame)));
        }
    }

    private void pass(Upload to, FlightFrame frame) {
        if (frame.kind() == FlightFrame.Kind.BAD) {
            frame.release();
            desk.loop.post(
                    () -> {
                        if (!call.isAnswered()) {
                            call.fail(
                                    to.mayHaveRun()
                                            ? Upload.unknown("a frame can't be read")
                                            : FlightStatuses.invalid("a frame can't be read"));
                            call.end();
                        }
                    });
        } else {
            to.frame(frame);
        }
    }

    void halfClosed() {
        Upload to = upload;
        if (to != null) {
            to.end();
        } else {
            desk.loop.post(() -> call.run(this::end));
        }
    }

    // ---- On the loop
    // ----------------------------------------------------------------------------------
    private void take(FlightFrame frame) {
        if (call.isAnswered()) {
            frame.release();
            return;
        }
        if (frame.kind() == FlightFrame.Kind.BAD) {
            throw CommandDecoder.invalid("a frame can't be read");
        }
        if (command == null) {
            first(frame);
            return;
        }
        bytes += frame.bytes();
        if (bytes > desk.config.parameterBytes()) {
            frame.release();
            throw Status.RESOURCE_EXHAUSTED
                    .withDescription(
                            "parameters are over the bound of "
                                    + desk.config.parameterBytes()
                                    + " bytes")
                    .asRuntimeException();
        }
        frames.add(frame.solid());
        call.out.request(1);
    }

    private void first(FlightFrame frame) {
        Flight.FlightDescriptor descriptor;
        try {
            descriptor = frame.descriptor();
        } catch (InvalidProtocolBufferException e) {
            throw CommandDecoder.invalid("the descriptor can't be read");
        }
        if (descriptor == null) {
            throw CommandDecoder.invalid("the first frame has no descriptor");
        }
        command = CommandDecoder.parse(CommandDecoder.command(descriptor));
        name = CommandDecoder.name(command);
        call.setWaitingForClient(name.startsWith("CommandPreparedStatement"));
        if (desk.engines == null && !name.equals("CommandStatementUpdate")) {
            throw FlightStatuses.unsupported(name + ": these engines take plain updates only")
                    .asRuntimeException();
        }
        switch (name) {
            case "CommandStatementUpdate":
                FlightSql.CommandStatementUpdate update =
                        CommandDecoder.unpack(command, FlightSql.CommandStatementUpdate.class);
                if (update.getQuery().isBlank()) {
                    throw CommandDecoder.invalid("an empty statement");
                }
                run(
                        update.getQuery(),
                        update.getTransactionId(),
                        txn ->
                                new EngineOperation.Update(
                                        txn == null
                                                ? command.toByteString()
                                                : FlightWire.packed(
                                                        update.toBuilder()
                                                                .setTransactionId(txn.handle)
                                                                .build()),
                                        null));
                call.out.request(1);
                break;
            case "CommandStatementSubstraitPlan":
                FlightSql.CommandStatementSubstraitPlan plan =
                        CommandDecoder.unpack(
                                command, FlightSql.CommandStatementSubstraitPlan.class);
                info.ifSubstrait(
                        call,
                        () ->
                                call.run(
                                        () ->
                                                run(
                                                        "",
                                                        plan.getTransactionId(),
                                                        txn ->
                                                                new EngineOperation.Update(
                                                                        txn == null
                                                                                ? command
                                                                                        .toByteString()
                                                                                : FlightWire.packed(
                                                                                        plan
                                                                                                .toBuilder()
                                                                                                .setTransactionId(
                                                                                                        txn.handle)
                                                                                                .build()),
                                                                        null))));
                call.out.request(1);
                break;
            case "CommandStatementIngest":
                ingest(
                        frame.solid(),
                        CommandDecoder.unpack(command, FlightSql.CommandStatementIngest.class));
                break;
            case "CommandPreparedStatementUpdate":
            case "CommandPreparedStatementQuery":
                if (frame.kind() == FlightFrame.Kind.SCHEMA) {
                    bytes += frame.bytes();
                    frames.add(frame.solid());
                }
                call.out.request(1);
                break;
            default:
                throw CommandDecoder.invalid(name + " can't be put");
        }
    }

    private void end() {
        if (call.isAnswered()) {
            return;
        }
        call.setWaitingForClient(false);
        if (upload != null) { // It began after the end had arrived on gRPC's thread.
            upload.end();
            return;
        }
        if (command == null) {
            throw CommandDecoder.invalid("nothing was put");
        }
        if (name.equals("CommandPreparedStatementQuery")) {
            bind(
                    CommandDecoder.unpack(command, FlightSql.CommandPreparedStatementQuery.class)
                            .getPreparedStatementHandle());
        } else if (name.equals("CommandPreparedStatementUpdate")) {
            prepared(
                    CommandDecoder.unpack(command, FlightSql.CommandPreparedStatementUpdate.class)
                            .getPreparedStatementHandle());
        }
    }

    // ---- Updates
    // --------------------------------------------------------------------------------------
    private interface InTransaction {
        EngineOperation work(Transaction<ByteString> txn);
    }

    private int updateClass() {
        int queryClass = desk.classOf(call, null, desk.config.updateClass());
        if (queryClass < 0
                || !desk.spec(queryClass).load()
                || desk.spec(queryClass).idempotency()
                        != calicostream.routing.Idempotency.NON_IDEMPOTENT) {
            // As a class that may be repeated it could be run twice.
            throw CommandDecoder.invalid("an update needs a class of loads");
        }
        return queryClass;
    }

    private void run(String sql, ByteString transaction, InTransaction what) {
        int queryClass = updateClass();
        Transaction<ByteString> txn =
                transaction.isEmpty()
                        ? null
                        : transactions.use(call, transaction, Purpose.STATEMENT);
        if (txn == null && !transaction.isEmpty()) {
            return;
        }
        ResponseCallback answer = new Counting();
        desk.submit(
                call,
                queryClass,
                sql,
                what.work(txn),
                txn == null ? EngineConnection.ANY : txn.connection,
                txn == null ? answer : transactions.within(txn, false, answer));
        if (CatalogChangeDetector.changesCatalog(sql)) {
            catalogs.changed("");
        }
    }

    private void prepared(ByteString handle) {
        PreparedStatementHandler.Entry statement = statements.find(call, handle);
        if (statement != null) {
            List<FlightFrame> rows = given(statement);
            run(
                    statement.sql,
                    statement.transaction,
                    txn -> new EngineOperation.Update(ByteString.EMPTY, statement.bound(rows)));
        }
    }

    /** The rows sent, checked against the statement; none where the schema names no parameter. */
    private List<FlightFrame> given(PreparedStatementHandler.Entry statement) {
        boolean rows = frames.stream().anyMatch(frame -> frame.kind() == FlightFrame.Kind.BATCH);
        List<FlightFrame> given =
                rows || !frames.isEmpty() && statement.parameterSchema.isEmpty()
                        ? List.copyOf(frames)
                        : List.of();
        String fault = PreparedStatementHandler.fault(statement, given);
        if (fault != null) {
            throw CommandDecoder.invalid(fault);
        }
        return given;
    }

    private void bind(ByteString handle) {
        PreparedStatementHandler.Entry statement = statements.find(call, handle);
        if (statement != null) {
            statement.core.bind(given(statement));
            call.reply(
                    Flight.PutResult.newBuilder()
                            .setAppMetadata(
                                    FlightSql.DoPutPreparedStatementResult.newBuilder()
                                            .setPreparedStatementHandle(handle)
                                            .build()
                                            .toByteString())
                            .build());
        }
    }

    /** Tells the rows changed. */
    private class Counting extends ResponseCallback.To<Flight.PutResult> {
        Counting() {
            super(call);
        }

        @Override
        public void served(RequestResult result) {
            long rows =
                    result instanceof EngineResult.Counted counted
                            ? counted.rows()
                            : -1; // -1: not known
            call.reply(
                    Flight.PutResult.newBuilder()
                            .setAppMetadata(
                                    FlightSql.DoPutUpdateResult.newBuilder()
                                            .setRecordCount(rows)
                                            .build()
                                            .toByteString())
                            .build());
        }
    }

    // ---- Ingest
    // ---------------------------------------------------------------------------------------
    private void ingest(FlightFrame schema, FlightSql.CommandStatementIngest request) {
        if (request.getTable().isBlank()) {
            throw CommandDecoder.invalid("no table to store rows in");
        }
        if (schema.kind() != FlightFrame.Kind.SCHEMA) {
            throw CommandDecoder.invalid("the first frame has no schema");
        }
        int queryClass = updateClass();
        ByteString transaction = request.getTransactionId();
        Transaction<ByteString> txn =
                transaction.isEmpty()
                        ? null
                        : transactions.use(call, transaction, Purpose.STATEMENT);
        if (txn == null && !transaction.isEmpty()) {
            return;
        }
        Upload rows =
                new Upload(
                        schema,
                        () -> {
                            release(); // What came before has gone on.
                            call.out.request(1);
                        });
        upload = rows;
        ByteString sent =
                FlightWire.packed(
                        txn == null
                                ? request
                                : request.toBuilder().setTransactionId(txn.handle).build());
        ResponseCallback answer =
                new Counting() {
                    @Override
                    public void failed(FailureReason why) {
                        call.fail(
                                rows.mayHaveRun()
                                        ? Upload.unknown("the upload broke off")
                                        : FlightStatuses.failure(why));
                        rows.drop();
                    }

                    @Override
                    public void refused(long stayAwayMs) {
                        super.refused(stayAwayMs);
                        rows.drop();
                    }

                    @Override
                    public void word(Status status) {
                        if (status.getCode()
                                == Status.Code
                                        .UNAVAILABLE) { // Nothing was stored; the rows must come
                            // again.
                            super.refused(desk.mostWaitMs());
                        } else {
                            super.word(status);
                        }
                        rows.drop();
                    }

                    @Override
                    public void served(RequestResult result) {
                        super.served(result);
                        rows.drop();
                        catalogs.changed(request.getCatalog());
                    }
                };
        String about =
                "insert into "
                        + (request.getSchema().isEmpty() ? "" : request.getSchema() + ".")
                        + request.getTable();
        desk.submit(
                call,
                queryClass,
                desk.config.ingestUs(),
                about,
                new EngineOperation.Ingest(sent, rows),
                txn == null ? EngineConnection.ANY : txn.connection,
                txn == null ? answer : transactions.within(txn, false, answer));
        call.atEnd(rows::drop);
    }
}
