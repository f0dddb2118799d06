// SPDX-License-Identifier: Apache-2.0
package review2;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.impl.FlightSql;

/** A Flight SQL client on a connection of its own, each of whose calls has a deadline. */
final class FlightClient implements AutoCloseable {
    private static final int SMALL_WINDOW = 65_535;
    private static final Metadata.Key<String> AUTHORIZATION =
            Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER);
    private static final Metadata.Key<String> CLASS =
            Metadata.Key.of("calicostream-class", Metadata.ASCII_STRING_MARSHALLER);

    /**
     * How a call ended.
     *
     * @param millis how long it took
     * @param inTime whether the server's answer came before the client's deadline
     */
    record End(Status status, long millis, boolean inTime, Object value) {
        @Override
        public String toString() {
            return (inTime ? "answered " : "NO ANSWER, given up with ")
                    + status.getCode()
                    + (status.getDescription() == null ? "" : " '" + status.getDescription() + "'")
                    + " after "
                    + millis
                    + " ms";
        }
    }

    private final Rig rig;
    private final String name;
    private final ManagedChannel channel;
    private final Metadata headers = new Metadata();

    FlightClient(Rig rig, String name, int port) {
        this.rig = rig;
        this.name = name;
        channel =
                NettyChannelBuilder.forAddress("127.0.0.1", port)
                        .usePlaintext()
                        .disableRetry()
                        .flowControlWindow(SMALL_WINDOW)
                        .maxInboundMessageSize(64 << 20)
                        .build();
    }

    /** The query class that this client names from now on; null for none. */
    FlightClient ofClass(String queryClass) {
        headers.removeAll(CLASS);
        if (queryClass != null) {
            headers.put(CLASS, queryClass);
        }
        return this;
    }

    /** Uses a token from now on. */
    FlightClient withToken(String token) {
        headers.put(AUTHORIZATION, token);
        return this;
    }

    private FlightServiceGrpc.FlightServiceStub stub(long deadlineMillis) {
        return FlightServiceGrpc.newStub(channel)
                .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers))
                .withDeadlineAfter(deadlineMillis, TimeUnit.MILLISECONDS);
    }

    /** Collects a call's messages; its end is told once. */
    private final class Collector<Q, T> implements ClientResponseObserver<Q, T> {
        final List<T> messages = new ArrayList<>();
        final CompletableFuture<End> end = new CompletableFuture<>();
        private final String what;
        private final long deadlineMillis;
        private final long pauseMillis;
        private final long startedAt = rig.millis();
        private final Function<List<T>, Object> value;
        private ClientCallStreamObserver<Q> call;

        Collector(
                String what,
                long deadlineMillis,
                long pauseMillis,
                Function<List<T>, Object> value) {
            this.what = what;
            this.deadlineMillis = deadlineMillis;
            this.pauseMillis = pauseMillis;
            this.value = value;
            rig.note(name, what + " sent, deadline " + deadlineMillis + " ms");
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<Q> started) {
            call = started;
            if (pauseMillis > 0) {
                started.disableAutoRequestWithInitial(1);
            }
        }

        @Override
        public void onNext(T message) {
            messages.add(message);
            if (pauseMillis > 0) {
                rig.note(name, what + ": read message " + messages.size());
                Rig.sleep(pauseMillis);
                call.request(1);
            }
        }

        @Override
        public void onError(Throwable error) {
            ended(Status.fromThrowable(error));
        }

        @Override
        public void onCompleted() {
            ended(Status.OK);
        }

        private void ended(Status status) {
            long millis = rig.millis() - startedAt;
            boolean gaveUp =
                    status.getCode() == Status.Code.DEADLINE_EXCEEDED
                            && millis >= deadlineMillis - 20;
            End out = new End(status, millis, !gaveUp, value.apply(messages));
            rig.note(name, what + " " + out);
            end.complete(out);
        }
    }

    private static ByteString packed(Message message) {
        return Any.pack(message).toByteString();
    }

    static Flight.FlightDescriptor descriptor(Message command) {
        return Flight.FlightDescriptor.newBuilder()
                .setType(Flight.FlightDescriptor.DescriptorType.CMD)
                .setCmd(packed(command))
                .build();
    }

    private static Message query(String sql, ByteString transaction) {
        FlightSql.CommandStatementQuery.Builder out =
                FlightSql.CommandStatementQuery.newBuilder().setQuery(sql);
        return transaction == null ? out.build() : out.setTransactionId(transaction).build();
    }

    /** GetFlightInfo of a query; the end's value is the ticket or null. */
    CompletableFuture<End> info(String sql, long deadlineMillis) {
        return info(sql, query(sql, null), deadlineMillis);
    }

    CompletableFuture<End> info(String what, Message command, long deadlineMillis) {
        Collector<Flight.FlightDescriptor, Flight.FlightInfo> out =
                new Collector<>(
                        "GetFlightInfo '" + what + "'",
                        deadlineMillis,
                        0,
                        all -> all.isEmpty() ? null : all.get(0).getEndpoint(0).getTicket());
        stub(deadlineMillis).getFlightInfo(descriptor(command), out);
        return out.end;
    }

    /** DoGet; the end's value is the list of messages. With a pause, the client reads slowly. */
    CompletableFuture<End> get(
            String what, Flight.Ticket ticket, long deadlineMillis, long pauseMillis) {
        Collector<Flight.Ticket, Flight.FlightData> out =
                new Collector<>("DoGet '" + what + "'", deadlineMillis, pauseMillis, List::copyOf);
        stub(deadlineMillis).doGet(ticket, out);
        return out.end;
    }

    /** One query from end to end, so that what follows meets a program that has served before. */
    FlightClient warmUp() throws Exception {
        for (int i = 0; i < 6; i++) {
            Flight.Ticket ticket = (Flight.Ticket) info("select 1", 10_000).get().value();
            if (ticket != null && get("select 1", ticket, 10_000, 0).get().status().isOk()) {
                return this;
            }
        }
        throw new IllegalStateException("the first queries were not served");
    }

    /** An update; the end's value is of no use. */
    CompletableFuture<End> update(String sql, ByteString transaction, long deadlineMillis) {
        Collector<Flight.FlightData, Flight.PutResult> out =
                new Collector<>("update '" + sql + "'", deadlineMillis, 0, List::size);
        StreamObserver<Flight.FlightData> put = stub(deadlineMillis).doPut(out);
        put.onNext(
                Flight.FlightData.newBuilder()
                        .setFlightDescriptor(
                                descriptor(
                                        FlightSql.CommandStatementUpdate.newBuilder()
                                                .setQuery(sql)
                                                .setTransactionId(transaction)
                                                .build()))
                        .build());
        put.onCompleted();
        return out.end;
    }

    /** Prepares a statement; its handle, or null. */
    ByteString prepare(String sql) throws Exception {
        End made =
                action(
                                "prepare '" + sql + "'",
                                "CreatePreparedStatement",
                                packed(
                                        FlightSql.ActionCreatePreparedStatementRequest.newBuilder()
                                                .setQuery(sql)
                                                .build()),
                                10_000)
                        .get();
        List<?> results = (List<?>) made.value();
        return results.isEmpty()
                ? null
                : Any.parseFrom(((Flight.Result) results.get(0)).getBody())
                        .unpack(FlightSql.ActionCreatePreparedStatementResult.class)
                        .getPreparedStatementHandle();
    }

    /** Runs a prepared update once for each row of parameters. */
    CompletableFuture<End> updatePrepared(
            ByteString handle, List<Flight.FlightData> rows, long deadlineMillis) {
        Collector<Flight.FlightData, Flight.PutResult> out =
                new Collector<>("prepared update", deadlineMillis, 0, List::size);
        StreamObserver<Flight.FlightData> put = stub(deadlineMillis).doPut(out);
        for (int i = 0; i < rows.size(); i++) {
            put.onNext(
                    i > 0
                            ? rows.get(i)
                            : rows.get(i).toBuilder()
                                    .setFlightDescriptor(
                                            descriptor(
                                                    FlightSql.CommandPreparedStatementUpdate
                                                            .newBuilder()
                                                            .setPreparedStatementHandle(handle)
                                                            .build()))
                                    .build());
        }
        put.onCompleted();
        return out.end;
    }

    /** An action; the end's value is the list of results. */
    CompletableFuture<End> action(String what, String type, ByteString body, long deadlineMillis) {
        Collector<Flight.Action, Flight.Result> out =
                new Collector<>(what, deadlineMillis, 0, List::copyOf);
        stub(deadlineMillis)
                .doAction(Flight.Action.newBuilder().setType(type).setBody(body).build(), out);
        return out.end;
    }

    /** Begins a transaction. */
    CompletableFuture<End> begin(long deadlineMillis) {
        return action(
                "BeginTransaction",
                "BeginTransaction",
                packed(FlightSql.ActionBeginTransactionRequest.getDefaultInstance()),
                deadlineMillis);
    }

    /** The transaction that a begin's end names, or null. */
    static ByteString transaction(End begun) throws InvalidProtocolBufferException {
        List<?> results = (List<?>) begun.value();
        return results.isEmpty()
                ? null
                : Any.parseFrom(((Flight.Result) results.get(0)).getBody())
                        .unpack(FlightSql.ActionBeginTransactionResult.class)
                        .getTransactionId();
    }

    /** Commits or rolls back. */
    CompletableFuture<End> end(ByteString transaction, boolean commit, long deadlineMillis) {
        FlightSql.ActionEndTransactionRequest.EndTransaction how =
                commit
                        ? FlightSql.ActionEndTransactionRequest.EndTransaction
                                .END_TRANSACTION_COMMIT
                        : FlightSql.ActionEndTransactionRequest.EndTransaction
                                .END_TRANSACTION_ROLLBACK;
        return action(
                commit ? "commit" : "rollback",
                "EndTransaction",
                packed(
                        FlightSql.ActionEndTransactionRequest.newBuilder()
                                .setTransactionId(transaction)
                                .setAction(how)
                                .build()),
                deadlineMillis);
    }

    /** Logs in; the token to use from then on. */
    static String login(Rig rig, int port, String user, String password) throws Exception {
        ManagedChannel channel =
                NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
        try {
            Metadata basic = new Metadata();
            basic.put(
                    AUTHORIZATION,
                    "Basic "
                            + Base64.getEncoder()
                                    .encodeToString(
                                            (user + ":" + password)
                                                    .getBytes(StandardCharsets.UTF_8)));
            AtomicReference<Metadata> given = new AtomicReference<>();
            AtomicReference<Metadata> trailers = new AtomicReference<>();
            FlightServiceGrpc.newBlockingStub(channel)
                    .withInterceptors(
                            MetadataUtils.newAttachHeadersInterceptor(basic),
                            MetadataUtils.newCaptureMetadataInterceptor(given, trailers))
                    .withDeadlineAfter(10, TimeUnit.SECONDS)
                    .listActions(Flight.Empty.getDefaultInstance())
                    .forEachRemaining(each -> {});
            rig.note(user, "logged in");
            return given.get().get(AUTHORIZATION);
        } catch (StatusRuntimeException e) {
            throw new IllegalStateException("no login: " + e.getStatus());
        } finally {
            channel.shutdownNow();
        }
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }
}
