// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.FailureReason;
import calicostream.core.RequestResult;
import calicostream.flight.state.EngineConnection;
import calicostream.flight.state.Transactions;
import calicostream.flight.state.Transactions.Purpose;
import calicostream.flight.state.Transactions.Transaction;
import calicostream.flight.state.Transactions.UseResult;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightWire;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.grpc.Status;
import java.util.function.Consumer;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.flight.sql.impl.FlightSql.ActionEndSavepointRequest.EndSavepoint;
import org.apache.arrow.flight.sql.impl.FlightSql.ActionEndTransactionRequest.EndTransaction;

/** Transactions and savepoints: the calls that make and end them, and what runs in them. */
final class TransactionHandler {
    private static final long DRAIN_LEFT =
            350_000; // of the 500 ms, so that a last rollback is out in time
    private static final long REMEMBERED = 120_000_000;
    private final RequestDispatcher desk;
    private final Transactions<ByteString> all;

    TransactionHandler(RequestDispatcher desk) {
        this.desk = desk;
        all =
                new Transactions<>(
                        desk::name,
                        new Transactions.Limits(
                                desk.config.transactionsPerClient(),
                                desk.config.transactionsPerEngine(),
                                desk.config.transactionIdleUs(),
                                DRAIN_LEFT,
                                REMEMBERED));
    }

    Transactions<ByteString> all() {
        return all;
    }

    // ---- Use
    // ------------------------------------------------------------------------------------------
    /**
     * The transaction that a statement names, taken for it; null: the call has been told why not.
     */
    Transaction<ByteString> use(ServerCall<?> call, ByteString name, Purpose purpose) {
        Transaction<ByteString> txn = all.find(call.owner, name.toStringUtf8());
        Status why = FlightStatuses.transaction(all.tryUse(desk.now(), txn, purpose), txn);
        if (why != null) {
            call.fail(why);
            return null;
        }
        return txn;
    }

    /**
     * A reply that also tells the transaction how it went. {@code reads}: leaving it half-way
     * changes nothing.
     */
    ResponseCallback within(Transaction<ByteString> txn, boolean reads, ResponseCallback reply) {
        return new ResponseCallback() {
            @Override
            public void served(RequestResult result) {
                done(txn, UseResult.DONE);
                reply.served(result);
            }

            @Override
            public void begun(EngineResult.Stream stream) {
                reply.begun(stream);
            }

            @Override
            public void refused(long stayAwayMs) {
                done(txn, UseResult.NEVER_SENT);
                reply.refused(stayAwayMs);
            }

            @Override
            public void failed(FailureReason why) {
                done(txn, UseResult.LOST);
                reply.failed(why);
            }

            @Override
            public void word(
                    Status status) { // The engine judged the statement; the transaction is its to
                // keep.
                done(txn, UseResult.DONE);
                reply.word(status);
            }

            @Override
            public void left() {
                done(txn, reads ? UseResult.DONE : UseResult.LOST);
                reply.left();
            }
        };
    }

    private void done(Transaction<ByteString> txn, UseResult result) {
        if (all.useEnded(desk.now(), txn, result)) {
            rollBack(txn.connection, txn.handle);
        }
    }

    /** An action in a transaction, on its engine. */
    private void act(
            ServerCall<Flight.Result> call,
            Transaction<ByteString> txn,
            Purpose purpose,
            String type,
            Message body,
            Consumer<EngineResult.Acted> then) {
        ResponseCallback answer =
                new ResponseCallback.To<>(call) {
                    @Override
                    public void served(RequestResult result) {
                        then.accept((EngineResult.Acted) result);
                    }

                    @Override
                    public void failed(FailureReason why) {
                        Status told = FlightStatuses.transaction(all.status(txn), txn);
                        call.fail(told == null ? FlightStatuses.failure(why) : told);
                    }
                };
        desk.submit(
                call,
                classFor(call, purpose),
                "",
                new EngineOperation.Act(type, FlightWire.packed(body)),
                txn.connection,
                within(txn, false, answer));
    }

    /** The class under which an action runs; negative where the call names one that is unknown. */
    private int classFor(ServerCall<?> call, Purpose purpose) {
        return purpose == Purpose.COMMIT
                ? desk.classOf(call, null, desk.config.updateClass())
                : desk.metadataClass();
    }

    // ---- Actions
    // --------------------------------------------------------------------------------------
    void begin(ServerCall<Flight.Result> call) {
        if (!all.reserve(call.owner)) {
            call.fail(
                    Status.RESOURCE_EXHAUSTED.withDescription(
                            "too many transactions of one client: "
                                    + desk.config.transactionsPerClient()
                                    + " allowed"));
            return;
        }
        String owner = call.owner;
        ByteString body =
                FlightWire.packed(FlightSql.ActionBeginTransactionRequest.getDefaultInstance());
        desk.submit(
                call,
                desk.metadataClass(),
                "",
                new EngineOperation.Act(FlightWire.BEGIN_TRANSACTION, body),
                EngineConnection.ANY,
                new ResponseCallback.To<>(call) {
                    @Override
                    public void served(RequestResult result) {
                        EngineResult.Acted acted = (EngineResult.Acted) result;
                        ByteString handle =
                                first(
                                        acted,
                                        FlightSql.ActionBeginTransactionResult.class,
                                        FlightSql.ActionBeginTransactionResult::getTransactionId);
                        if (handle.isEmpty()) {
                            all.releaseReservation(owner);
                            call.fail(
                                    Status.INTERNAL.withDescription(
                                            "the engine named no transaction"));
                            return;
                        }
                        if (call.isSessionClosed()) {
                            all.releaseReservation(owner);
                            rollBack(acted.connection(), handle);
                            call.fail(FlightStatuses.SESSION_CLOSED);
                            return;
                        }
                        Transaction<ByteString> txn =
                                all.begin(desk.now(), owner, acted.connection(), handle);
                        if (txn == null) {
                            rollBack(acted.connection(), handle);
                            call.fail(FlightStatuses.refusal(desk.mostWaitMs()), desk.mostWaitMs());
                            return;
                        }
                        catchUp(txn);
                        call.reply(
                                result(
                                        FlightSql.ActionBeginTransactionResult.newBuilder()
                                                .setTransactionId(ByteString.copyFromUtf8(txn.name))
                                                .build()));
                    }

                    @Override
                    public void refused(long stayAwayMs) {
                        all.releaseReservation(owner);
                        super.refused(stayAwayMs);
                    }

                    @Override
                    public void failed(FailureReason why) {
                        all.releaseReservation(owner);
                        super.failed(why);
                    }

                    @Override
                    public void word(Status status) {
                        all.releaseReservation(owner);
                        super.word(status);
                    }

                    @Override
                    public void left() { // The engine's own lease ends what it may have begun.
                        all.releaseReservation(owner);
                    }
                });
    }

    /** What happened to the engine while the transaction was being begun. */
    private void catchUp(Transaction<ByteString> txn) {
        long engine = txn.connection.engine();
        if (!desk.engines.isCurrent(txn.connection)) {
            all.connectionEnded(desk.now(), txn);
        } else if (desk.engines.isDraining(engine)) {
            all.engineDrainingSince(desk.engines.drainingSince(engine), txn);
        }
    }

    void end(ServerCall<Flight.Result> call, FlightSql.ActionEndTransactionRequest request) {
        boolean commit = request.getAction() == EndTransaction.END_TRANSACTION_COMMIT;
        if (!commit && request.getAction() != EndTransaction.END_TRANSACTION_ROLLBACK) {
            throw CommandDecoder.invalid("commit or rollback?");
        }
        Purpose purpose = commit ? Purpose.COMMIT : Purpose.ROLLBACK;
        if (classFor(call, purpose) < 0) {
            throw CommandDecoder.invalid("no class '" + call.caller.queryClass + "'");
        }
        Transaction<ByteString> txn = use(call, request.getTransactionId(), purpose);
        if (txn == null) {
            return;
        }
        Message body = request.toBuilder().setTransactionId(txn.handle).build();
        if (!all.isDraining(txn)) {
            act(call, txn, purpose, FlightWire.END_TRANSACTION, body, acted -> call.complete());
            return;
        }
        // The module sends a drained engine nothing; what is left of the 500 ms is for this, once,
        // and for no other.
        desk.engines.act(
                txn.connection,
                FlightWire.END_TRANSACTION,
                FlightWire.packed(body),
                status -> {
                    done(
                            txn,
                            status.isOk() || status.getCode() == Status.Code.ABORTED
                                    ? UseResult.DONE
                                    : UseResult.LOST);
                    if (status.isOk()) {
                        call.complete();
                    } else {
                        Status told = FlightStatuses.transaction(all.status(txn), txn);
                        call.fail(told == null ? status : told);
                    }
                });
    }

    void savepoint(ServerCall<Flight.Result> call, FlightSql.ActionBeginSavepointRequest request) {
        if (request.getName().isEmpty()) {
            throw CommandDecoder.invalid("a savepoint needs a name");
        }
        Transaction<ByteString> txn = use(call, request.getTransactionId(), Purpose.STATEMENT);
        if (txn != null) {
            act(
                    call,
                    txn,
                    Purpose.STATEMENT,
                    FlightWire.BEGIN_SAVEPOINT,
                    request.toBuilder().setTransactionId(txn.handle).build(),
                    acted -> {
                        ByteString handle =
                                first(
                                        acted,
                                        FlightSql.ActionBeginSavepointResult.class,
                                        FlightSql.ActionBeginSavepointResult::getSavepointId);
                        if (handle.isEmpty()) {
                            call.fail(
                                    Status.INTERNAL.withDescription(
                                            "the engine named no savepoint"));
                            return;
                        }
                        call.reply(
                                result(
                                        FlightSql.ActionBeginSavepointResult.newBuilder()
                                                .setSavepointId(
                                                        ByteString.copyFromUtf8(
                                                                all.addSavepoint(txn, handle)))
                                                .build()));
                    });
        }
    }

    void endSavepoint(ServerCall<Flight.Result> call, FlightSql.ActionEndSavepointRequest request) {
        boolean release = request.getAction() == EndSavepoint.END_SAVEPOINT_RELEASE;
        if (!release && request.getAction() != EndSavepoint.END_SAVEPOINT_ROLLBACK) {
            throw CommandDecoder.invalid("release or rollback?");
        }
        String name = request.getSavepointId().toStringUtf8();
        Transaction<ByteString> of = all.findBySavepoint(call.owner, name);
        if (of == null) {
            call.fail(FlightStatuses.UNKNOWN_HANDLE);
            return;
        }
        ByteString handle = all.savepointHandle(of, name);
        if (use(call, ByteString.copyFromUtf8(of.name), Purpose.STATEMENT) != null) {
            act(
                    call,
                    of,
                    Purpose.STATEMENT,
                    FlightWire.END_SAVEPOINT,
                    request.toBuilder().setSavepointId(handle).build(),
                    acted -> {
                        all.savepointEnded(of, name, release);
                        call.complete();
                    });
        }
    }

    // ---- Time
    // -----------------------------------------------------------------------------------------
    void look(long now) {
        all.takeExpired(now).forEach(txn -> rollBack(txn.connection, txn.handle));
    }

    private void rollBack(EngineConnection connection, ByteString handle) {
        desk.engines.tidy(
                connection,
                FlightWire.END_TRANSACTION,
                FlightWire.packed(
                        FlightSql.ActionEndTransactionRequest.newBuilder()
                                .setTransactionId(handle)
                                .setAction(EndTransaction.END_TRANSACTION_ROLLBACK)
                                .build()),
                true);
    }

    static Flight.Result result(Message message) {
        return Flight.Result.newBuilder().setBody(FlightWire.packed(message)).build();
    }

    /** A handle out of an action's first result; empty where there is none. */
    static <M extends Message> ByteString first(
            EngineResult.Acted acted,
            Class<M> as,
            java.util.function.Function<M, ByteString> handle) {
        try {
            return acted.results().isEmpty()
                    ? ByteString.EMPTY
                    : handle.apply(Any.parseFrom(acted.results().get(0)).unpack(as));
        } catch (InvalidProtocolBufferException e) {
            return ByteString.EMPTY;
        }
    }
}
