// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import com.google.flatbuffers.FlatBufferBuilder;
import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import org.apache.arrow.flatbuf.Field;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.flatbuf.MessageHeader;
import org.apache.arrow.flatbuf.MetadataVersion;
import org.apache.arrow.flatbuf.Schema;
import org.apache.arrow.flatbuf.Struct_;
import org.apache.arrow.flatbuf.Type;
import org.apache.arrow.flatbuf.Union;
import org.apache.arrow.flatbuf.UnionMode;
import org.apache.arrow.flatbuf.Utf8;

/** Schema messages of one column, written part by part, so that offsets and counts can be false. */
public final class SchemaMessages {
    private static final byte[] CONTINUATION = {-1, -1, -1, -1};

    private final FlatBufferBuilder builder = new FlatBufferBuilder();

    private SchemaMessages() {}

    /** A column whose only child is the column itself. */
    public static ByteString cyclic() {
        SchemaMessages out = new SchemaMessages();
        int children = Field.createChildrenVector(out.builder, new int[] {out.text()});
        int column = out.struct(children);
        byte[] message = out.message(column);
        int firstChild = message.length - children + Integer.BYTES;
        put(message, firstChild, message.length - column - firstChild);
        return ByteString.copyFrom(message);
    }

    /** A sound column of structs in structs; a depth of 1 is a column of text. */
    public static ByteString nested(int depth) {
        return sharing(depth, 1);
    }

    /** Structs in structs, each of which has the next one as its child several times. */
    public static ByteString sharing(int depth, int references) {
        SchemaMessages out = new SchemaMessages();
        int field = out.text();
        for (int level = 1; level < depth; level++) {
            int[] same = new int[references];
            Arrays.fill(same, field);
            field = out.struct(Field.createChildrenVector(out.builder, same));
        }
        return ByteString.copyFrom(out.message(field));
    }

    /** A column with one child that claims to have so many. */
    public static ByteString withChildCount(int count) {
        SchemaMessages out = new SchemaMessages();
        int children = Field.createChildrenVector(out.builder, new int[] {out.text()});
        byte[] message = out.message(out.struct(children));
        put(message, message.length - children, count);
        return ByteString.copyFrom(message);
    }

    /** A union of one type that claims to have so many. */
    public static ByteString withUnionTypeCount(int count) {
        SchemaMessages out = new SchemaMessages();
        int ids = Union.createTypeIdsVector(out.builder, new int[] {0});
        int type = Union.createUnion(out.builder, UnionMode.Dense, ids);
        int children = Field.createChildrenVector(out.builder, new int[] {out.text()});
        byte[] message = out.message(out.field(Type.Union, type, children));
        put(message, message.length - ids, count);
        return ByteString.copyFrom(message);
    }

    /** The message behind its length, as FlightInfo and prepared statements carry a schema. */
    public static ByteString enclosed(ByteString header, int claimedLength) {
        ByteBuffer length = ByteBuffer.allocate(Integer.BYTES).order(ByteOrder.LITTLE_ENDIAN);
        length.putInt(claimedLength).flip();
        return ByteString.copyFrom(CONTINUATION).concat(ByteString.copyFrom(length)).concat(header);
    }

    /** The message behind its length. */
    public static ByteString enclosed(ByteString header) {
        return enclosed(header, header.size());
    }

    /** The message as the first frame of a stream has it. */
    public static FlightFrame frame(ByteString header) {
        return FlightFrame.of(ByteString.EMPTY, header, ByteString.EMPTY, ByteString.EMPTY);
    }

    private int text() {
        Utf8.startUtf8(builder);
        return field(Type.Utf8, Utf8.endUtf8(builder), 0);
    }

    private int struct(int children) {
        Struct_.startStruct_(builder);
        return field(Type.Struct_, Struct_.endStruct_(builder), children);
    }

    private int field(byte kind, int type, int children) {
        int name = builder.createString("c1");
        Field.startField(builder);
        Field.addName(builder, name);
        Field.addNullable(builder, true);
        Field.addTypeType(builder, kind);
        Field.addType(builder, type);
        if (children != 0) {
            Field.addChildren(builder, children);
        }
        return Field.endField(builder);
    }

    private byte[] message(int column) {
        int columns = Schema.createFieldsVector(builder, new int[] {column});
        Schema.startSchema(builder);
        Schema.addFields(builder, columns);
        int schema = Schema.endSchema(builder);
        Message.startMessage(builder);
        Message.addVersion(builder, MetadataVersion.V5);
        Message.addHeaderType(builder, MessageHeader.Schema);
        Message.addHeader(builder, schema);
        builder.finish(Message.endMessage(builder));
        return builder.sizedByteArray();
    }

    private static void put(byte[] message, int position, int value) {
        ByteBuffer.wrap(message).order(ByteOrder.LITTLE_ENDIAN).putInt(position, value);
    }
}
