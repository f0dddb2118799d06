// SPDX-License-Identifier: Apache-2.0
package calicostream.flight;

import calicostream.QueryRouter.Outcome;
import calicostream.QueryRouter.Report;
import calicostream.SettingsParser;
import calicostream.core.Gateway;
import calicostream.grpc.Calls;
import calicostream.grpc.ChannelEngines;
import calicostream.grpc.Channels;
import calicostream.net.Loop;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.ClientInterceptor;
import io.grpc.Context;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.flatbuf.MessageHeader;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.vector.ipc.message.IpcOption;
import org.apache.arrow.vector.ipc.message.MessageSerializer;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * The engine side of Flight SQL. A query is GetFlightInfo and then DoGet of its ticket, a load is DoPut; a
 * stream's messages are kept as they come and passed on only once the engine has ended it without error.
 * Calls are asynchronous; gRPC's threads hand what they learn to the loop.
 */
public final class FlightEngines extends ChannelEngines {
    private static final int CONTINUES = 0xFFFFFFFF;
    private static final int SLACK = 1 << 20; // of a message over the bound that is held here
    private final Loop loop;
    private final List<String> classNames;
    private final int mostResultBytes;

    public FlightEngines(Loop loop, SettingsParser settings, int mostResultBytes) {
        super(new Channels(loop, settings.wiring(), address -> dial(address, settings.wiring(), mostResultBytes)));
        this.loop = loop;
        classNames = settings.classNames();
        this.mostResultBytes = mostResultBytes;
    }

    /** Without gRPC's own retries: whether a statement goes out again is the module's to decide. */
    private static ManagedChannel dial(InetSocketAddress address, SettingsParser.Wiring wiring, int mostResultBytes) {
        return NettyChannelBuilder.forAddress(address).usePlaintext().disableRetry().directExecutor()
                .maxInboundMessageSize(mostResultBytes + SLACK)
                .idleTimeout(Math.max(1, wiring.idleUs() * 7 / 10), TimeUnit.MICROSECONDS).build();
    }

    @Override
    public void send(Gateway.Attempt attempt) {
        Call call = new Call(attempt);
        attempt.link = call;
        channels.start(attempt, call::begin);
    }

    @Override
    protected void cancel(Gateway.Attempt attempt) {
        if (attempt.link instanceof Call call) {
            call.context.cancel(null);
        }
    }

    /** One attempt. Its fields are used by gRPC's threads one after another; its end is told on the loop. */
    private final class Call {
        final Gateway.Attempt attempt;
        final Context.CancellableContext context = Context.ROOT.withCancellation();
        final AtomicReference<Metadata> headers = new AtomicReference<>();
        final AtomicReference<Metadata> trailers = new AtomicReference<>();
        private final ByteArrayOutputStream stream = new ByteArrayOutputStream();
        private List<Flight.FlightEndpoint> endpoints = List.of();
        private boolean hasSchema;
        private int nextEndpoint;
        private ManagedChannel channel;

        Call(Gateway.Attempt attempt) {
            this.attempt = attempt;
        }

        private FlightServiceGrpc.FlightServiceStub stub() {
            Metadata sent = new Metadata();
            sent.put(Calls.CLASS, classNames.get(attempt.request.queryClass));
            sent.put(Calls.REQUEST, attempt.request.id);
            sent.put(Calls.URGENCY, Integer.toString(attempt.request.priority()));
            ClientInterceptor attach = MetadataUtils.newAttachHeadersInterceptor(sent);
            ClientInterceptor capture = MetadataUtils.newCaptureMetadataInterceptor(headers, trailers);
            long left = Math.max(1, attempt.giveUpAt - loop.clock().now());
            return FlightServiceGrpc.newStub(channel).withInterceptors(attach, capture)
                    .withDeadlineAfter(left, TimeUnit.MICROSECONDS);
        }

        void begin(ManagedChannel up) {
            channel = up;
            String sql = new String(attempt.request.body, StandardCharsets.UTF_8);
            context.run(() -> {
                if (attempt.request.isLoad()) {
                    load(sql);
                } else {
                    Any command = Any.pack(FlightSql.CommandStatementQuery.newBuilder().setQuery(sql).build());
                    stub().getFlightInfo(descriptor(command), new Answer<Flight.FlightInfo>() {
                        @Override
                        public void onNext(Flight.FlightInfo info) {
                            endpoints = info.getEndpointList();
                        }

                        @Override
                        public void onCompleted() {
                            fetch();
                        }
                    });
                }
            });
        }

        private Flight.FlightDescriptor descriptor(Any command) {
            return Flight.FlightDescriptor.newBuilder().setType(Flight.FlightDescriptor.DescriptorType.CMD)
                    .setCmd(command.toByteString()).build();
        }

        /** Fetches the next part of the result; the result is whole once there is no further one. */
        private void fetch() {
            if (nextEndpoint == endpoints.size()) {
                ByteBuffer end = ByteBuffer.allocate(2 * Integer.BYTES).putInt(CONTINUES).putInt(0);
                stream.writeBytes(end.array());
                finish(hasSchema ? Outcome.OK : Outcome.ERROR, hasSchema ? stream.toByteArray() : null);
                return;
            }
            Flight.Ticket ticket = endpoints.get(nextEndpoint++).getTicket();
            context.run(() -> stub().doGet(ticket, new Answer<Flight.FlightData>() {
                @Override
                public void onNext(Flight.FlightData data) {
                    keep(data);
                }

                @Override
                public void onCompleted() {
                    fetch();
                }
            }));
        }

        /** Keeps a message in the form it has in an IPC stream; of several parts only the first brings a schema. */
        private void keep(Flight.FlightData data) {
            ByteString header = data.getDataHeader();
            if (header.isEmpty()) {
                return;
            }
            boolean schema = Message.getRootAsMessage(header.asReadOnlyByteBuffer()).headerType()
                    == MessageHeader.Schema;
            if (schema && hasSchema) {
                return;
            }
            hasSchema |= schema;
            int padding = -header.size() & 7;
            if (stream.size() + header.size() + data.getDataBody().size() > mostResultBytes) {
                finish(Outcome.ERROR, null);
                context.cancel(null);
                return;
            }
            ByteBuffer lead = ByteBuffer.allocate(2 * Integer.BYTES).order(java.nio.ByteOrder.LITTLE_ENDIAN)
                    .putInt(CONTINUES).putInt(header.size() + padding);
            stream.writeBytes(lead.array());
            stream.writeBytes(header.toByteArray());
            stream.write(new byte[padding], 0, padding);
            stream.writeBytes(data.getDataBody().toByteArray());
        }

        private void load(String sql) {
            Any command = Any.pack(FlightSql.CommandStatementUpdate.newBuilder().setQuery(sql).build());
            Flight.FlightData first = Flight.FlightData.newBuilder().setFlightDescriptor(descriptor(command))
                    .setDataHeader(ByteString.copyFrom(
                            MessageSerializer.serializeMetadata(new Schema(List.of()), IpcOption.DEFAULT)))
                    .build();
            StreamObserver<Flight.FlightData> up = stub().doPut(new Answer<Flight.PutResult>() {
                private byte[] count;

                @Override
                public void onNext(Flight.PutResult result) {
                    try {
                        count = ArrowRows.count(FlightSql.DoPutUpdateResult.parseFrom(result.getAppMetadata())
                                .getRecordCount());
                    } catch (InvalidProtocolBufferException e) {
                        count = null;
                    }
                }

                @Override
                public void onCompleted() { // An engine that says nothing of the outcome has not said it ran.
                    finish(count == null ? Outcome.ERROR : Outcome.OK, count);
                }
            });
            up.onNext(first);
            up.onCompleted();
        }

        private void finish(Outcome outcome, byte[] result) {
            Report report = Calls.report(headers.get(), trailers.get());
            loop.post(() -> gateway.ended(attempt, outcome, report, result));
        }

        /** Any error of any step ends the attempt, so a stream cut half-way is never taken for a whole one. */
        private abstract class Answer<T> implements StreamObserver<T> {
            @Override
            public void onError(Throwable error) {
                finish(Calls.outcome(Status.fromThrowable(error), trailers.get(), attempt.request.isOnce()), null);
            }
        }
    }
}
