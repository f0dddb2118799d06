// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.ServerCallHandler;
import io.grpc.ServerMethodDefinition;
import io.grpc.ServerServiceDefinition;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.vector.ipc.message.IpcOption;
import org.apache.arrow.vector.ipc.message.MessageSerializer;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * Flight's generated service with DoGet and DoPut in frames, and the words that both sides share.
 */
public final class FlightWire {
    public static final MethodDescriptor<Flight.Ticket, FlightFrame> DO_GET =
            FlightServiceGrpc.getDoGetMethod().toBuilder(
                            new TolerantMarshaller<>(
                                    FlightServiceGrpc.getDoGetMethod().getRequestMarshaller()),
                            FlightFrame.MARSHALLER)
                    .build();
    public static final MethodDescriptor<FlightFrame, Flight.PutResult> DO_PUT =
            FlightServiceGrpc.getDoPutMethod().toBuilder(
                            FlightFrame.MARSHALLER,
                            FlightServiceGrpc.getDoPutMethod().getResponseMarshaller())
                    .build();

    /** From front end to engine: what the client's session has set. */
    public static final Metadata.Key<String> CATALOG = key("calicostream-catalog");

    public static final Metadata.Key<String> SCHEMA = key("calicostream-schema");
    public static final Metadata.Key<String> PRIORITY = key("calicostream-priority");
    public static final Metadata.Key<String> AUTHORIZATION = key("authorization");

    // Names of actions, as the protocol has them.
    public static final String CREATE_PREPARED = "CreatePreparedStatement";
    public static final String CREATE_PREPARED_PLAN = "CreatePreparedSubstraitPlan";
    public static final String CLOSE_PREPARED = "ClosePreparedStatement";
    public static final String BEGIN_TRANSACTION = "BeginTransaction";
    public static final String END_TRANSACTION = "EndTransaction";
    public static final String BEGIN_SAVEPOINT = "BeginSavepoint";
    public static final String END_SAVEPOINT = "EndSavepoint";
    public static final String CANCEL_QUERY = "CancelQuery";
    public static final String CANCEL_INFO = "CancelFlightInfo";
    public static final String RENEW_ENDPOINT = "RenewFlightEndpoint";
    public static final String SET_OPTIONS = "SetSessionOptions";
    public static final String GET_OPTIONS = "GetSessionOptions";
    public static final String CLOSE_SESSION = "CloseSession";

    private FlightWire() {}

    private static Metadata.Key<String> key(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    /**
     * The generated service, where these two take and give frames. A request that can't be read is
     * a null message.
     */
    public static ServerServiceDefinition service(
            ServerServiceDefinition generated,
            ServerCallHandler<Flight.Ticket, FlightFrame> get,
            ServerCallHandler<FlightFrame, Flight.PutResult> put) {
        ServerServiceDefinition.Builder out =
                ServerServiceDefinition.builder(FlightServiceGrpc.SERVICE_NAME);
        generated
                .getMethods()
                .forEach(
                        method -> {
                            String name = method.getMethodDescriptor().getFullMethodName();
                            if (!name.equals(DO_GET.getFullMethodName())
                                    && !name.equals(DO_PUT.getFullMethodName())) {
                                out.addMethod(tolerant(method));
                            }
                        });
        return out.addMethod(DO_GET, get).addMethod(DO_PUT, put).build();
    }

    private static <Q, R> ServerMethodDefinition<Q, R> tolerant(
            ServerMethodDefinition<Q, R> method) {
        MethodDescriptor<Q, R> generated = method.getMethodDescriptor();
        return ServerMethodDefinition.create(
                generated.toBuilder(
                                new TolerantMarshaller<>(generated.getRequestMarshaller()),
                                generated.getResponseMarshaller())
                        .build(),
                method.getServerCallHandler());
    }

    public static Flight.FlightDescriptor descriptor(ByteString command) {
        return Flight.FlightDescriptor.newBuilder()
                .setType(Flight.FlightDescriptor.DescriptorType.CMD)
                .setCmd(command)
                .build();
    }

    public static ByteString packed(Message command) {
        return Any.pack(command).toByteString();
    }

    public static Flight.Ticket ticket(ByteString bytes) {
        return Flight.Ticket.newBuilder().setTicket(bytes).build();
    }

    /** A schema in the form in which FlightInfo and prepared statements have it. */
    public static ByteString schema(Schema schema) {
        return ByteString.copyFrom(schema.serializeAsMessage());
    }

    /** A schema as the first frame of a stream has it. */
    public static ByteString schemaHeader(Schema schema) {
        return ByteString.copyFrom(MessageSerializer.serializeMetadata(schema, IpcOption.DEFAULT));
    }
}
