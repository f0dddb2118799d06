// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import calicostream.flight.ArrowRows;
import calicostream.flight.FrameListener;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.SqlInfoBuilder;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.IntVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.complex.ListVector;
import org.apache.arrow.vector.complex.impl.UnionListWriter;
import org.apache.arrow.vector.dictionary.Dictionary;
import org.apache.arrow.vector.dictionary.DictionaryEncoder;
import org.apache.arrow.vector.dictionary.DictionaryProvider;
import org.apache.arrow.vector.ipc.ArrowStreamWriter;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.DictionaryEncoding;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.FieldType;
import org.apache.arrow.vector.types.pojo.Schema;

/** Results that the stand-in engine has: a number and a text as wide as wanted. */
final class Data {
    private static final BufferAllocator ALLOCATOR = new RootAllocator();
    static final Schema ROWS =
            new Schema(
                    List.of(
                            new Field("id", FieldType.nullable(new ArrowType.Int(32, true)), null),
                            new Field("pad", FieldType.nullable(ArrowType.Utf8.INSTANCE), null)));

    private Data() {}

    static Schema parameters(int count) {
        List<Field> out = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            out.add(new Field("p" + i, FieldType.nullable(new ArrowType.Int(32, true)), null));
        }
        return new Schema(out);
    }

    static Flight.FlightData message(FlightFrame frame) {
        try (InputStream in = FlightFrame.MARSHALLER.stream(frame)) {
            return Flight.FlightData.parseFrom(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Flight.FlightData schema(Schema schema) {
        return Flight.FlightData.newBuilder()
                .setDataHeader(FlightWire.schemaHeader(schema))
                .build();
    }

    /** Rows numbered from {@code from}, each with a text so wide. */
    static Flight.FlightData batch(int from, int rows, int width) {
        byte[] pad = "x".repeat(width).getBytes(StandardCharsets.US_ASCII);
        try (VectorSchemaRoot root = VectorSchemaRoot.create(ROWS, ALLOCATOR)) {
            IntVector id = (IntVector) root.getVector(0);
            VarCharVector text = (VarCharVector) root.getVector(1);
            text.allocateNew((long) rows * width, rows);
            for (int i = 0; i < rows; i++) {
                id.setSafe(i, from + i);
                text.setSafe(i, pad);
            }
            root.setRowCount(rows);
            return message(ArrowRows.batch(root));
        }
    }

    /** Results of uncommon kinds: dictionaries, nested types, no columns. */
    static List<Flight.FlightData> special(String text) {
        DictionaryProvider.MapDictionaryProvider dictionaries =
                new DictionaryProvider.MapDictionaryProvider();
        List<FieldVector> columns = new ArrayList<>();
        if (text.contains("dictionary")) {
            VarCharVector words = new VarCharVector("words", ALLOCATOR);
            words.setSafe(0, "red".getBytes(StandardCharsets.UTF_8));
            words.setSafe(1, "blue".getBytes(StandardCharsets.UTF_8));
            words.setValueCount(2);
            Dictionary dictionary = new Dictionary(words, new DictionaryEncoding(1, false, null));
            dictionaries.put(dictionary);
            try (VarCharVector plain = new VarCharVector("colour", ALLOCATOR)) {
                plain.setSafe(0, "blue".getBytes(StandardCharsets.UTF_8));
                plain.setSafe(1, "red".getBytes(StandardCharsets.UTF_8));
                plain.setValueCount(2);
                columns.add((FieldVector) DictionaryEncoder.encode(plain, dictionary));
            }
        } else if (text.contains("nested")) {
            ListVector list = ListVector.empty("list", ALLOCATOR);
            UnionListWriter writer = list.getWriter();
            for (int row = 0; row < 2; row++) {
                writer.startList();
                writer.setPosition(row);
                writer.writeInt(row);
                writer.writeInt(row + 1);
                writer.endList();
            }
            list.setValueCount(2);
            columns.add(list);
        }
        ByteArrayOutputStream ipc = new ByteArrayOutputStream();
        try (VectorSchemaRoot root = new VectorSchemaRoot(columns);
                ArrowStreamWriter writer = new ArrowStreamWriter(root, dictionaries, ipc)) {
            root.setRowCount(2);
            writer.writeBatch();
            writer.end();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            dictionaries
                    .getDictionaryIds()
                    .forEach(id -> dictionaries.lookup(id).getVector().close());
        }
        return messages(ipc.toByteArray());
    }

    /** An IPC stream's messages as Flight has them. */
    private static List<Flight.FlightData> messages(byte[] ipc) {
        List<Flight.FlightData> out = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(ipc).order(ByteOrder.LITTLE_ENDIAN);
        while (in.remaining() >= 8) {
            in.getInt();
            int length = in.getInt();
            if (length == 0) {
                break;
            }
            ByteString header = ByteString.copyFrom(ipc, in.position(), length);
            in.position(in.position() + length);
            int body = (int) Message.getRootAsMessage(header.asReadOnlyByteBuffer()).bodyLength();
            out.add(
                    Flight.FlightData.newBuilder()
                            .setDataHeader(header)
                            .setDataBody(ByteString.copyFrom(ipc, in.position(), body))
                            .build());
            in.position(in.position() + body);
        }
        return out;
    }

    /** Parameters as a client binds them. */
    static VectorSchemaRoot bound(int... values) {
        VectorSchemaRoot root = VectorSchemaRoot.create(parameters(values.length), ALLOCATOR);
        for (int i = 0; i < values.length; i++) {
            ((IntVector) root.getVector(i)).setSafe(0, values[i]);
        }
        root.setRowCount(1);
        return root;
    }

    /** One row of defaults, for catalogs. */
    static List<Flight.FlightData> oneRow(Schema schema) {
        try (VectorSchemaRoot root = VectorSchemaRoot.create(schema, ALLOCATOR)) {
            root.allocateNew();
            root.setRowCount(1);
            return List.of(schema(schema), message(ArrowRows.batch(root)));
        }
    }

    static List<Flight.FlightData> sqlInfo() {
        List<FlightFrame> out = new ArrayList<>();
        new SqlInfoBuilder()
                .withFlightSqlServerName("stand")
                .withFlightSqlServerReadOnly(false)
                .withFlightSqlServerSubstrait(true)
                .withFlightSqlServerSql(true)
                .withSqlIdentifierQuoteChar("\"")
                .send(
                        List.of(
                                FlightSql.SqlInfo.FLIGHT_SQL_SERVER_NAME_VALUE,
                                FlightSql.SqlInfo.FLIGHT_SQL_SERVER_SUBSTRAIT_VALUE,
                                FlightSql.SqlInfo.FLIGHT_SQL_SERVER_SQL_VALUE,
                                FlightSql.SqlInfo.FLIGHT_SQL_SERVER_READ_ONLY_VALUE,
                                FlightSql.SqlInfo.SQL_IDENTIFIER_QUOTE_CHAR_VALUE),
                        new FrameListener(out));
        return out.stream().map(Data::message).toList();
    }

    static ByteString schemaBytes(Schema schema) {
        return FlightWire.schema(schema);
    }
}
