// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import java.nio.ByteBuffer;
import org.apache.arrow.flatbuf.Field;
import org.apache.arrow.flatbuf.KeyValue;
import org.apache.arrow.flatbuf.Schema;
import org.apache.arrow.flatbuf.Timestamp;
import org.apache.arrow.flatbuf.Type;
import org.apache.arrow.flatbuf.Union;

/**
 * Checks that a schema can be read within its message's length: no field is nested too deeply, and
 * the parts that are read, each counted as often as it is reached, are together no longer than the
 * message. Writers store each part once; offsets that lead back, or lead to one part from many
 * places, exceed the length.
 */
final class SchemaVerifier {
    /** The nesting that Arrow's C++ reader accepts by default. */
    static final int MAX_DEPTH = 64;

    private static final int OFFSET_BYTES = Integer.BYTES;

    /** A table starts with the offset of its layout. */
    private static final int MIN_TABLE_BYTES = Integer.BYTES;

    /** The offsets of a field's layout and type, and the type's kind with its padding. */
    private static final int MIN_FIELD_BYTES = 3 * Integer.BYTES;

    private long bytesLeft;

    /**
     * Creates a verifier of one schema.
     *
     * @param messageBytes the length of the message that holds the schema
     */
    SchemaVerifier(int messageBytes) {
        bytesLeft = messageBytes;
    }

    /**
     * Verifies the schema.
     *
     * @throws UnreadableSchemaException where the schema is beyond the limits
     * @throws RuntimeException where an offset leaves the message
     */
    void verify(Schema schema) throws UnreadableSchemaException {
        countTable();
        countElements(schema.fieldsLength(), OFFSET_BYTES);
        for (int i = 0; i < schema.fieldsLength(); i++) {
            verify(schema.fields(i), 1);
        }
        countElements(schema.customMetadataLength(), OFFSET_BYTES);
        for (int i = 0; i < schema.customMetadataLength(); i++) {
            count(schema.customMetadata(i));
        }
    }

    private void verify(Field field, int depth) throws UnreadableSchemaException {
        if (depth > MAX_DEPTH) {
            throw new UnreadableSchemaException("fields nested more than " + MAX_DEPTH + " deep");
        }
        countElements(1, MIN_FIELD_BYTES);
        count(field.nameAsByteBuffer());
        countTypeParameters(field);
        countElements(field.customMetadataLength(), OFFSET_BYTES);
        for (int i = 0; i < field.customMetadataLength(); i++) {
            count(field.customMetadata(i));
        }
        countElements(field.childrenLength(), OFFSET_BYTES);
        for (int i = 0; i < field.childrenLength(); i++) {
            verify(field.children(i), depth + 1);
        }
    }

    private void countTypeParameters(Field field) throws UnreadableSchemaException {
        if (field.typeType() == Type.Union && field.type(new Union()) instanceof Union union) {
            countElements(union.typeIdsLength(), Integer.BYTES);
        } else if (field.typeType() == Type.Timestamp
                && field.type(new Timestamp()) instanceof Timestamp timestamp) {
            count(timestamp.timezoneAsByteBuffer());
        }
    }

    private void count(KeyValue pair) throws UnreadableSchemaException {
        countTable();
        count(pair.keyAsByteBuffer());
        count(pair.valueAsByteBuffer());
    }

    private void count(ByteBuffer text) throws UnreadableSchemaException {
        if (text != null) {
            countElements(text.remaining(), 1);
        }
    }

    private void countTable() throws UnreadableSchemaException {
        countElements(1, MIN_TABLE_BYTES);
    }

    private void countElements(int count, int bytesEach) throws UnreadableSchemaException {
        bytesLeft -= (long) count * bytesEach;
        if (count < 0 || bytesLeft < 0) {
            throw new UnreadableSchemaException("more parts than the message has room for");
        }
    }
}
