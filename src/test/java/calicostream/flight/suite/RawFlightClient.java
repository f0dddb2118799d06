// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import calicostream.flight.wire.FlightWire;
import calicostream.grpc.GrpcStatuses;
import io.grpc.Channel;
import io.grpc.ClientInterceptors;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.MetadataUtils;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.impl.FlightSql;

/** Flight by gRPC alone: messages that may be none, and calls that read nothing. */
public final class RawFlightClient {
    static final MethodDescriptor.Marshaller<byte[]> BYTES =
            new MethodDescriptor.Marshaller<>() {
                @Override
                public InputStream stream(byte[] message) {
                    return new ByteArrayInputStream(message);
                }

                @Override
                public byte[] parse(InputStream in) {
                    try {
                        return in.readAllBytes();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                }
            };

    private RawFlightClient() {}

    public static Flight.FlightDescriptor query(String sql) {
        return FlightWire.descriptor(
                FlightWire.packed(
                        FlightSql.CommandStatementQuery.newBuilder().setQuery(sql).build()));
    }

    public static Flight.Ticket ticket(Channel channel, String sql) {
        return FlightServiceGrpc.newBlockingStub(channel)
                .getFlightInfo(query(sql))
                .getEndpoint(0)
                .getTicket();
    }

    /** The same, of a class. */
    static Flight.Ticket ticket(Channel channel, String sql, String queryClass) {
        Metadata headers = new Metadata();
        headers.put(GrpcStatuses.QUERY_CLASS, queryClass);
        return ticket(
                ClientInterceptors.intercept(
                        channel, MetadataUtils.newAttachHeadersInterceptor(headers)),
                sql);
    }

    /** Opens a DoGet and reads nothing of it; how it ends is told to {@code end}. */
    public static ClientCallStreamObserver<Flight.Ticket> unread(
            ManagedChannel channel, Flight.Ticket ticket, CompletableFuture<Status> end) {
        CompletableFuture<ClientCallStreamObserver<Flight.Ticket>> started =
                new CompletableFuture<>();
        FlightServiceGrpc.newStub(channel)
                .doGet(
                        ticket,
                        new ClientResponseObserver<Flight.Ticket, Flight.FlightData>() {
                            @Override
                            public void beforeStart(ClientCallStreamObserver<Flight.Ticket> call) {
                                call.disableAutoRequestWithInitial(0);
                                started.complete(call);
                            }

                            @Override
                            public void onNext(Flight.FlightData data) {}

                            @Override
                            public void onError(Throwable error) {
                                end.complete(Status.fromThrowable(error));
                            }

                            @Override
                            public void onCompleted() {
                                end.complete(Status.OK);
                            }
                        });
        return started.join();
    }
}
