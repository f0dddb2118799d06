// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.Timestamp;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.util.Map;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.FlightSqlProducer.Schemas;
import org.apache.arrow.vector.types.pojo.Schema;

/** Reading and writing the protocol's packed messages. */
final class CommandDecoder {
    /** Commands that read catalogs, and the schema of what they bring; tables have two. */
    static final Map<String, Schema> METADATA =
            Map.ofEntries(
                    Map.entry("CommandGetCatalogs", Schemas.GET_CATALOGS_SCHEMA),
                    Map.entry("CommandGetDbSchemas", Schemas.GET_SCHEMAS_SCHEMA),
                    Map.entry("CommandGetTables", Schemas.GET_TABLES_SCHEMA),
                    Map.entry("CommandGetTableTypes", Schemas.GET_TABLE_TYPES_SCHEMA),
                    Map.entry("CommandGetPrimaryKeys", Schemas.GET_PRIMARY_KEYS_SCHEMA),
                    Map.entry("CommandGetExportedKeys", Schemas.GET_EXPORTED_KEYS_SCHEMA),
                    Map.entry("CommandGetImportedKeys", Schemas.GET_IMPORTED_KEYS_SCHEMA),
                    Map.entry("CommandGetCrossReference", Schemas.GET_CROSS_REFERENCE_SCHEMA),
                    Map.entry("CommandGetXdbcTypeInfo", Schemas.GET_TYPE_INFO_SCHEMA),
                    Map.entry("CommandGetSqlInfo", Schemas.GET_SQL_INFO_SCHEMA));

    private CommandDecoder() {}

    /** A packed message; INVALID_ARGUMENT where these bytes are none. */
    static Any parse(ByteString bytes) {
        try {
            Any any = Any.parseFrom(bytes);
            if (any.getTypeUrl().isEmpty()) {
                throw invalid("not a Flight SQL message");
            }
            return any;
        } catch (InvalidProtocolBufferException e) {
            throw invalid("not a Flight SQL message: " + e.getMessage());
        }
    }

    /** The short name of a packed message. */
    static String name(Any any) {
        return any.getTypeUrl().substring(any.getTypeUrl().lastIndexOf('.') + 1);
    }

    static <M extends Message> M unpack(Any any, Class<M> as) {
        try {
            return any.unpack(as);
        } catch (InvalidProtocolBufferException e) {
            throw invalid(as.getSimpleName() + " can't be read: " + e.getMessage());
        }
    }

    static <M extends Message> M unpack(ByteString bytes, Class<M> as) {
        return unpack(parse(bytes), as);
    }

    static StatusRuntimeException invalid(String why) {
        return Status.INVALID_ARGUMENT.withDescription(why).asRuntimeException();
    }

    /** A descriptor's command; paths are not used by Flight SQL. */
    static ByteString command(Flight.FlightDescriptor descriptor) {
        if (descriptor.getType() != Flight.FlightDescriptor.DescriptorType.CMD) {
            throw invalid("the descriptor has no command");
        }
        return descriptor.getCmd();
    }

    static Flight.FlightInfo.Builder info(Flight.FlightDescriptor descriptor, ByteString schema) {
        return Flight.FlightInfo.newBuilder()
                .setFlightDescriptor(descriptor)
                .setSchema(schema)
                .setTotalRecords(-1)
                .setTotalBytes(-1);
    }

    static Flight.FlightEndpoint.Builder endpoint(ByteString ticket) {
        return Flight.FlightEndpoint.newBuilder()
                .setTicket(Flight.Ticket.newBuilder().setTicket(ticket))
                .addLocation(
                        Flight.Location.newBuilder().setUri("arrow-flight-reuse-connection://?"));
    }

    /** A wall-clock time so many microseconds from now, as the protocol tells expiry. */
    static Timestamp in(long us) {
        long at = System.currentTimeMillis() + us / 1000;
        return Timestamp.newBuilder()
                .setSeconds(at / 1000)
                .setNanos((int) (at % 1000) * 1_000_000)
                .build();
    }
}
