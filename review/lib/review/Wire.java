// SPDX-License-Identifier: Apache-2.0
package review;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.grpc.ClientInterceptor;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;

/** Words of Flight SQL that clients and engines of the cases share. */
public final class Wire {
    public static final Metadata.Key<String> CLASS = key("calicostream-class");
    public static final Metadata.Key<String> CATALOG = key("calicostream-catalog");
    public static final Metadata.Key<String> COOKIE = key("cookie");
    public static final Metadata.Key<String> SET_COOKIE = key("set-cookie");

    private Wire() {}

    private static Metadata.Key<String> key(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    public static ManagedChannel connect(int port) {
        return NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
    }

    /** Adds headers, as name and value in turn, to each call. */
    public static ClientInterceptor headers(Object... pairs) {
        Metadata out = new Metadata();
        for (int i = 0; i < pairs.length; i += 2) {
            @SuppressWarnings("unchecked")
            Metadata.Key<String> name = (Metadata.Key<String>) pairs[i];
            out.put(name, (String) pairs[i + 1]);
        }
        return MetadataUtils.newAttachHeadersInterceptor(out);
    }

    public static ByteString pack(Message message) {
        return Any.pack(message).toByteString();
    }

    public static <M extends Message> M unpack(ByteString bytes, Class<M> as) {
        try {
            return Any.parseFrom(bytes).unpack(as);
        } catch (InvalidProtocolBufferException e) {
            throw Status.INVALID_ARGUMENT.withDescription("unexpected message").asRuntimeException();
        }
    }

    public static String nameOf(ByteString bytes) {
        try {
            String type = Any.parseFrom(bytes).getTypeUrl();
            return type.substring(type.lastIndexOf('.') + 1);
        } catch (InvalidProtocolBufferException e) {
            return "";
        }
    }

    public static Flight.FlightDescriptor descriptor(Message command) {
        return Flight.FlightDescriptor.newBuilder()
                .setType(Flight.FlightDescriptor.DescriptorType.CMD)
                .setCmd(pack(command))
                .build();
    }

    public static Flight.FlightDescriptor query(String sql) {
        return descriptor(FlightSql.CommandStatementQuery.newBuilder().setQuery(sql).build());
    }

    public static Flight.Action action(String type, Message body) {
        return Flight.Action.newBuilder().setType(type).setBody(pack(body)).build();
    }
}
