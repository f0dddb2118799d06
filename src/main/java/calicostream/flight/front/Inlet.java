// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.flight.state.Effects;
import calicostream.flight.state.Transactions.Purpose;
import calicostream.flight.state.Transactions.Txn;
import calicostream.flight.wire.Answers;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.Frame;
import calicostream.flight.wire.Upload;
import calicostream.flight.wire.Work;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
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
final class Inlet {
    private final Desk desk;
    private final TransactionDesk transactions;
    private final Statements statements;
    private final Catalogs catalogs;
    private final SqlInfo info;
    private final Exchange<Flight.PutResult> call;
    private volatile Upload upload;
    private List<Frame> frames = new ArrayList<>();
    private long bytes;
    private Any command;
    private String name = "";
    private final AtomicLong here = new AtomicLong();
    private boolean ended;

    Inlet(
            Desk desk,
            TransactionDesk transactions,
            Statements statements,
            Catalogs catalogs,
            SqlInfo info,
            Exchange<Flight.PutResult> call) {
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
        call.out.request(1);
    }

    /** What has arrived and not gone on; past its bound new calls are turned away. */
    private void charge(Frame frame) {
        desk.admission.charge(frame.bytes());
        here.addAndGet(frame.bytes());
    }

    private void release() {
        desk.admission.release(here.getAndSet(0));
    }

    // ---- From the client, on gRPC's threads
    // -----------------------------------------------------------
    void arrived(Frame frame) {
        charge(frame);
        Upload to = upload;
        if (to != null) {
            pass(to, frame);
        } else {
            desk.loop.post(() -> guarded(() -> take(frame)));
        }
    }

    private void pass(Upload to, Frame frame) {
        if (frame.kind() == Frame.Kind.BAD) {
            frame.release();
            desk.loop.post(
                    () -> {
                        if (!call.isAnswered()) {
                            call.fail(
                                    to.isDrawn()
                                            ? Upload.unknown("a frame can't be read")
                                            : Words.invalid("a frame can't be read"));
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
            desk.loop.post(() -> guarded(this::end));
        }
    }

    private void guarded(Runnable work) {
        try {
            work.run();
        } catch (StatusRuntimeException e) {
            call.fail(e.getStatus());
        }
    }

    // ---- On the loop
    // ----------------------------------------------------------------------------------
    private void take(Frame frame) {
        if (call.isAnswered()) {
            frame.release();
            return;
        }
        if (frame.kind() == Frame.Kind.BAD) {
            throw Commands.invalid("a frame can't be read");
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

    private void first(Frame frame) {
        Flight.FlightDescriptor descriptor;
        try {
            descriptor = frame.descriptor();
        } catch (InvalidProtocolBufferException e) {
            throw Commands.invalid("the descriptor can't be read");
        }
        if (descriptor == null) {
            throw Commands.invalid("the first frame has no descriptor");
        }
        command = Commands.parse(Commands.command(descriptor));
        name = Commands.name(command);
        if (desk.engines == null && !name.equals("CommandStatementUpdate")) {
            throw Words.unsupported(name + ": these engines take plain updates only")
                    .asRuntimeException();
        }
        switch (name) {
            case "CommandStatementUpdate":
                FlightSql.CommandStatementUpdate update =
                        Commands.unpack(command, FlightSql.CommandStatementUpdate.class);
                if (update.getQuery().isBlank()) {
                    throw Commands.invalid("an empty statement");
                }
                run(
                        update.getQuery(),
                        update.getTransactionId(),
                        txn ->
                                new Work.Update(
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
                        Commands.unpack(command, FlightSql.CommandStatementSubstraitPlan.class);
                info.ifSubstrait(
                        call,
                        () ->
                                guarded(
                                        () ->
                                                run(
                                                        "",
                                                        plan.getTransactionId(),
                                                        txn ->
                                                                new Work.Update(
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
                        Commands.unpack(command, FlightSql.CommandStatementIngest.class));
                break;
            case "CommandPreparedStatementUpdate":
            case "CommandPreparedStatementQuery":
                if (frame.kind() == Frame.Kind.SCHEMA) {
                    bytes += frame.bytes();
                    frames.add(frame.solid());
                }
                call.out.request(1);
                break;
            default:
                throw Commands.invalid(name + " can't be put");
        }
    }

    private void end() {
        ended = true;
        if (call.isAnswered()) {
            return;
        }
        if (command == null) {
            throw Commands.invalid("nothing was put");
        }
        if (name.equals("CommandPreparedStatementQuery")) {
            bind(
                    Commands.unpack(command, FlightSql.CommandPreparedStatementQuery.class)
                            .getPreparedStatementHandle());
        } else if (name.equals("CommandPreparedStatementUpdate")) {
            prepared(
                    Commands.unpack(command, FlightSql.CommandPreparedStatementUpdate.class)
                            .getPreparedStatementHandle());
        }
    }

    // ---- Updates
    // --------------------------------------------------------------------------------------
    private interface InTransaction {
        Work work(Txn<ByteString> txn);
    }

    private int updateClass() {
        int queryClass = desk.classOf(call, null, desk.config.updateClass());
        if (queryClass < 0
                || !desk.spec(queryClass).load()
                || desk.spec(queryClass).effect() != calicostream.QueryRouter.Effect.ONCE) {
            // As a class that may be repeated it could be run twice.
            throw Commands.invalid("an update needs a class of loads");
        }
        return queryClass;
    }

    private void run(String sql, ByteString transaction, InTransaction what) {
        int queryClass = updateClass();
        Txn<ByteString> txn =
                transaction.isEmpty()
                        ? null
                        : transactions.use(call, transaction, Purpose.STATEMENT);
        if (txn == null && !transaction.isEmpty()) {
            return;
        }
        Reply answer = new Counting();
        desk.submit(
                call,
                queryClass,
                sql,
                what.work(txn),
                txn == null ? 0 : txn.engine,
                txn == null ? answer : transactions.within(txn, false, answer));
        if (Effects.changesCatalog(sql)) {
            catalogs.changed("");
        }
    }

    private void prepared(ByteString handle) {
        Statements.Entry statement = statements.find(call, handle);
        if (statement != null) {
            List<Frame> rows = given(statement);
            run(
                    statement.sql,
                    statement.transaction,
                    txn -> new Work.Update(ByteString.EMPTY, statement.bound(rows)));
        }
    }

    /** The rows sent, checked against the statement; none where the schema names no parameter. */
    private List<Frame> given(Statements.Entry statement) {
        boolean rows = frames.stream().anyMatch(frame -> frame.kind() == Frame.Kind.BATCH);
        List<Frame> given =
                rows || !frames.isEmpty() && statement.parameterSchema.isEmpty()
                        ? List.copyOf(frames)
                        : List.of();
        String fault = Statements.fault(statement, given);
        if (fault != null) {
            throw Commands.invalid(fault);
        }
        return given;
    }

    private void bind(ByteString handle) {
        Statements.Entry statement = statements.find(call, handle);
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
    private class Counting extends Reply.To<Flight.PutResult> {
        Counting() {
            super(call);
        }

        @Override
        public void served(Object result) {
            long rows =
                    result instanceof Answers.Counted counted
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
    private void ingest(Frame schema, FlightSql.CommandStatementIngest request) {
        if (request.getTable().isBlank()) {
            throw Commands.invalid("no table to store rows in");
        }
        if (schema.kind() != Frame.Kind.SCHEMA) {
            throw Commands.invalid("the first frame has no schema");
        }
        int queryClass = updateClass();
        ByteString transaction = request.getTransactionId();
        Txn<ByteString> txn =
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
        Reply answer =
                new Counting() {
                    @Override
                    public void failed(calicostream.core.Front.Failure why) {
                        call.fail(
                                rows.isDrawn()
                                        ? Upload.unknown("the upload broke off")
                                        : Words.failure(why));
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
                    public void served(Object result) {
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
                new Work.Ingest(sent, rows),
                txn == null ? 0 : txn.engine,
                txn == null ? answer : transactions.within(txn, false, answer));
        call.atEnd(rows::drop);
        if (ended) {
            rows.end();
        }
    }
}
