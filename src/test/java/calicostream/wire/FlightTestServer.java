// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.flight.CallHeaders;
import org.apache.arrow.flight.CallOption;
import org.apache.arrow.flight.CallOptions;
import org.apache.arrow.flight.CallStatus;
import org.apache.arrow.flight.ErrorFlightMetadata;
import org.apache.arrow.flight.FlightCallHeaders;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightDescriptor;
import org.apache.arrow.flight.FlightEndpoint;
import org.apache.arrow.flight.FlightGrpcUtils;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStatusCode;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.HeaderCallOption;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.PutResult;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.apache.arrow.flight.sql.NoOpFlightSqlProducer;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.memory.ArrowBuf;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;

/** Flight SQL clients and engines. */
final class FlightTestServer implements TestServer {
    private final BufferAllocator allocator = new RootAllocator();
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    work -> {
                        Thread thread = new Thread(work);
                        thread.setDaemon(true);
                        return thread;
                    });
    private FlightClient flight;
    private FlightSqlClient client;
    private int port;

    @Override
    public Engine engine() throws IOException {
        return new FlightEngine();
    }

    @Override
    public String[] deploy() {
        return deploy(0);
    }

    static String[] deploy(int port) {
        return new String[] {
            "flight.json",
            "{\"enabled\":true,\"listen\":\"127.0.0.1:"
                    + port
                    + "\",\"engines\":\"flight\",\"info_schema\":\"none\"}"
        };
    }

    /** Where the program that it is connected to listens. */
    int port() {
        return port;
    }

    @Override
    public void connect(ServerProgram program) throws IOException {
        port = program.port("Flight SQL listening on port");
        flight =
                FlightClient.builder(allocator, Location.forGrpcInsecure("127.0.0.1", port))
                        .build();
        client = new FlightSqlClient(flight);
    }

    FlightSqlClient client() {
        return client;
    }

    static CallOption[] options(String queryClass, int waitMs) {
        CallHeaders headers = new FlightCallHeaders();
        headers.insert("calicostream-class", queryClass);
        return new CallOption[] {
            new HeaderCallOption(headers), CallOptions.timeout(waitMs, TimeUnit.MILLISECONDS)
        };
    }

    @Override
    public Answer ask(String queryClass, String sql, int waitMs) {
        CallOption[] options = options(queryClass, waitMs);
        CompletableFuture<FlightStream> stream = new CompletableFuture<>();
        CompletableFuture<String> answer = new CompletableFuture<>();
        threads.execute(
                () -> {
                    try {
                        answer.complete(
                                queryClass.equals("stat-load")
                                        ? "served " + client.executeUpdate(sql, options)
                                        : "served " + rows(sql, options, stream));
                    } catch (FlightRuntimeException e) {
                        answer.complete(read(e.status()));
                    } catch (Exception e) {
                        answer.complete("broken: " + e);
                    }
                });
        return new Answer() {
            @Override
            public String await() throws Exception {
                return answer.get(ServerProgram.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }

            @Override
            public void cancel() throws Exception {
                stream.get(ServerProgram.PATIENCE_MS, TimeUnit.MILLISECONDS)
                        .cancel("no longer wanted", null);
            }
        };
    }

    private String rows(String sql, CallOption[] options, CompletableFuture<FlightStream> opened)
            throws Exception {
        FlightInfo info = client.execute(sql, options);
        StringBuilder out = new StringBuilder();
        try (FlightStream stream =
                client.getStream(info.getEndpoints().get(0).getTicket(), options)) {
            opened.complete(stream);
            while (stream.next()) {
                for (int i = 0; i < stream.getRoot().getRowCount(); i++) {
                    out.append(out.length() > 0 ? "\n" : "")
                            .append(stream.getRoot().getVector(0).getObject(i));
                }
            }
        }
        return out.toString();
    }

    static String read(CallStatus status) {
        boolean wait =
                status.metadata() != null
                        && status.metadata().containsKey("grpc-retry-pushback-ms");
        return status.code() == FlightStatusCode.UNAVAILABLE && wait
                ? "refused"
                : status.code() == FlightStatusCode.TIMED_OUT
                        ? "deadline"
                        : status.code() == FlightStatusCode.INTERNAL
                                ? "failed"
                                : status.code().toString();
    }

    @Override
    public void close() throws Exception {
        if (client != null) {
            client.close();
        }
        threads.shutdownNow();
    }

    /** An engine of its own gRPC server, so that it can die at once with all its streams. */
    private final class FlightEngine extends NoOpFlightSqlProducer implements Engine {
        final Arrivals asked = new Arrivals();
        final Server server;

        FlightEngine() throws IOException {
            server =
                    NettyServerBuilder.forAddress(
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                            .addService(service())
                            .build()
                            .start();
        }

        @SuppressWarnings(
                "deprecation") // The only way to a server that can be ended at once takes one.
        private io.grpc.BindableService service() {
            return FlightGrpcUtils.createFlightService(
                    allocator, this, org.apache.arrow.flight.auth.ServerAuthHandler.NO_OP, threads);
        }

        @Override
        public void close() {
            die();
        }

        @Override
        public InetSocketAddress address() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getPort());
        }

        @Override
        public Asked next() throws InterruptedException {
            return asked.next();
        }

        @Override
        public int waiting() {
            return asked.waiting();
        }

        @Override
        public void die() {
            server.shutdownNow();
        }

        @Override
        public FlightInfo getFlightInfoStatement(
                FlightSql.CommandStatementQuery command,
                CallContext context,
                FlightDescriptor descriptor) {
            Ticket ticket =
                    new Ticket(
                            Any.pack(
                                            FlightSql.TicketStatementQuery.newBuilder()
                                                    .setStatementHandle(
                                                            ByteString.copyFromUtf8(
                                                                    command.getQuery()))
                                                    .build())
                                    .toByteArray());
            return FlightInfo.builder(
                            null,
                            descriptor,
                            List.of(new FlightEndpoint(ticket, Location.reuseConnection())))
                    .build();
        }

        @Override
        public void getStreamStatement(
                FlightSql.TicketStatementQuery ticket,
                CallContext context,
                ServerStreamListener listener) {
            CountDownLatch cancelled = new CountDownLatch(1);
            listener.setOnCancelHandler(cancelled::countDown);
            asked.add(
                    new FlightAsked(
                            ticket.getStatementHandle().toStringUtf8(), listener, null, cancelled));
        }

        @Override
        public Runnable acceptPutStatement(
                FlightSql.CommandStatementUpdate command,
                CallContext context,
                FlightStream stream,
                StreamListener<PutResult> acknowledge) {
            FlightAsked update =
                    new FlightAsked(command.getQuery(), null, acknowledge, new CountDownLatch(1));
            return () -> { // Flight completes the call when this returns.
                asked.add(update);
                update.answered.join();
            };
        }
    }

    private final class FlightAsked implements Asked {
        final String sql;
        final NoOpFlightSqlProducer.ServerStreamListener listener;
        final NoOpFlightSqlProducer.StreamListener<PutResult> acknowledge;
        final CountDownLatch cancelled;
        final CompletableFuture<Void> answered = new CompletableFuture<>();

        FlightAsked(
                String sql,
                NoOpFlightSqlProducer.ServerStreamListener listener,
                NoOpFlightSqlProducer.StreamListener<PutResult> acknowledge,
                CountDownLatch cancelled) {
            this.sql = sql;
            this.listener = listener;
            this.acknowledge = acknowledge;
            this.cancelled = cancelled;
        }

        @Override
        public String sql() {
            return sql;
        }

        @Override
        public void serve(String row) {
            if (listener == null) {
                byte[] told =
                        FlightSql.DoPutUpdateResult.newBuilder()
                                .setRecordCount(Long.parseLong(row))
                                .build()
                                .toByteArray();
                try (ArrowBuf buffer = allocator.buffer(told.length)) {
                    buffer.writeBytes(told);
                    acknowledge.onNext(PutResult.metadata(buffer));
                }
                acknowledge.onCompleted();
                answered.complete(null);
            } else {
                batch(row);
                listener.completed();
            }
        }

        private void batch(String row) {
            VarCharVector column = new VarCharVector("c1", allocator);
            try (VectorSchemaRoot root = new VectorSchemaRoot(List.of(column))) {
                column.setSafe(0, row.getBytes(StandardCharsets.UTF_8));
                root.setRowCount(1);
                listener.start(root);
                listener.putNext();
            }
        }

        private void error(CallStatus status) {
            if (listener == null) {
                acknowledge.onError(status.toRuntimeException());
                answered.complete(null);
            } else {
                listener.error(status.toRuntimeException());
            }
        }

        @Override
        public void full() {
            ErrorFlightMetadata never = new ErrorFlightMetadata();
            never.insert("calicostream-never-ran", "true");
            error(CallStatus.RESOURCE_EXHAUSTED.withMetadata(never));
        }

        @Override
        public void broke() {
            error(CallStatus.INTERNAL);
        }

        @Override
        public void half() {
            if (listener != null) { // A load's engine has said nothing until it has said all.
                batch("half");
            }
        }

        @Override
        public void awaitCancel() throws InterruptedException {
            Arrivals.awaitCancel(cancelled);
        }
    }
}
