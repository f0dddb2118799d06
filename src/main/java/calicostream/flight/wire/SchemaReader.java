// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.flatbuf.MessageHeader;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * Reads Arrow schemas from bytes of clients and engines. Arrow's library follows offsets, counts
 * and nesting as it finds them, so each message is checked by {@link SchemaVerifier} first. Stack,
 * memory and time are then bounded by the message's own length.
 */
public final class SchemaReader {
    /** Marks the length of a message in Arrow's IPC format since version 0.15. */
    private static final int CONTINUATION = 0xFFFFFFFF;

    private SchemaReader() {}

    /**
     * Reads the schema that a frame carries.
     *
     * @throws UnreadableSchemaException where the frame carries no schema, or one beyond the limits
     */
    public static Schema read(FlightFrame frame) throws UnreadableSchemaException {
        return readHeader(buffer(frame.header()));
    }

    /**
     * Checks the schema that a frame carries, for a reader of the library's own.
     *
     * @throws UnreadableSchemaException as {@link #read(FlightFrame)}
     */
    public static void verify(FlightFrame frame) throws UnreadableSchemaException {
        verified(buffer(frame.header()));
    }

    /**
     * Reads a schema in the form that FlightInfo and prepared statements carry: a message of
     * Arrow's IPC format, behind its length.
     *
     * @throws UnreadableSchemaException where it is no schema, or one beyond the limits
     */
    public static Schema readMessage(ByteString message) throws UnreadableSchemaException {
        ByteBuffer buffer = buffer(message);
        if (buffer.remaining() < 2 * Integer.BYTES) {
            throw new UnreadableSchemaException("a message without its length");
        }
        int length = buffer.getInt();
        if (length == CONTINUATION) {
            length = buffer.getInt();
        }
        if (length <= 0 || length > buffer.remaining()) {
            throw new UnreadableSchemaException("a message of " + length + " bytes");
        }
        buffer.limit(buffer.position() + length);
        return readHeader(buffer.slice().order(ByteOrder.LITTLE_ENDIAN));
    }

    private static Schema readHeader(ByteBuffer header) throws UnreadableSchemaException {
        org.apache.arrow.flatbuf.Schema schema = verified(header);
        try {
            return Schema.convertSchema(schema);
        } catch (RuntimeException e) { // An unknown type, or a type's parameter out of range.
            throw new UnreadableSchemaException(e);
        }
    }

    private static org.apache.arrow.flatbuf.Schema verified(ByteBuffer header)
            throws UnreadableSchemaException {
        try {
            Message message = Message.getRootAsMessage(header);
            if (message.headerType() != MessageHeader.Schema) {
                throw new UnreadableSchemaException("not a schema message");
            }
            org.apache.arrow.flatbuf.Schema schema =
                    (org.apache.arrow.flatbuf.Schema)
                            message.header(new org.apache.arrow.flatbuf.Schema());
            if (schema == null) {
                throw new UnreadableSchemaException("a schema message without a schema");
            }
            new SchemaVerifier(header.limit()).verify(schema);
            return schema;
        } catch (RuntimeException e) { // The library reads without checks: an offset out of range.
            throw new UnreadableSchemaException(e);
        }
    }

    private static ByteBuffer buffer(ByteString bytes) {
        return bytes.asReadOnlyByteBuffer().order(ByteOrder.LITTLE_ENDIAN);
    }
}
