// SPDX-License-Identifier: Apache-2.0
package review2;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.FlightSqlProducer.Schemas;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.IntVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamReader;
import org.apache.arrow.vector.ipc.ArrowStreamWriter;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.FieldType;
import org.apache.arrow.vector.types.pojo.Schema;

/** Results in Arrow's form, written and read. */
final class Rows {
    private static final BufferAllocator ALLOCATOR = new RootAllocator();
    private static final Schema SCHEMA =
            new Schema(
                    List.of(
                            new Field("id", FieldType.nullable(new ArrowType.Int(32, true)), null),
                            new Field("pad", FieldType.nullable(ArrowType.Utf8.INSTANCE), null)));

    private Rows() {}

    static ByteString schemaBytes() {
        return ByteString.copyFrom(SCHEMA.serializeAsMessage());
    }

    private static int number(String text, String name, int without) {
        Matcher found = Pattern.compile(name + "=(\\d+)").matcher(text);
        return found.find() ? Integer.parseInt(found.group(1)) : without;
    }

    /** As many batches, of as many rows as wide, as a statement's text asks for. */
    static List<Flight.FlightData> numbered(String text) {
        int batches = number(text, "batches", 1);
        int rows = number(text, "rows", 2);
        byte[] pad = "x".repeat(number(text, "width", 4)).getBytes(StandardCharsets.US_ASCII);
        ByteArrayOutputStream ipc = new ByteArrayOutputStream();
        try (VectorSchemaRoot root = VectorSchemaRoot.create(SCHEMA, ALLOCATOR);
                ArrowStreamWriter writer = new ArrowStreamWriter(root, null, ipc)) {
            for (int batch = 0; batch < batches; batch++) {
                IntVector id = (IntVector) root.getVector(0);
                VarCharVector column = (VarCharVector) root.getVector(1);
                column.allocateNew((long) rows * pad.length, rows);
                for (int i = 0; i < rows; i++) {
                    id.setSafe(i, batch * rows + i);
                    column.setSafe(i, pad);
                }
                root.setRowCount(rows);
                writer.writeBatch();
            }
            writer.end();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return messages(ipc.toByteArray());
    }

    /** The schema of one number as a statement's parameter. */
    private static final Schema PARAMETER =
            new Schema(
                    List.of(
                            new Field("p0", FieldType.nullable(new ArrowType.Int(32, true)), null)));

    static ByteString parameterBytes() {
        return ByteString.copyFrom(PARAMETER.serializeAsMessage());
    }

    /** Rows of one parameter each. */
    static List<Flight.FlightData> parameters(int... values) {
        ByteArrayOutputStream ipc = new ByteArrayOutputStream();
        try (VectorSchemaRoot root = VectorSchemaRoot.create(PARAMETER, ALLOCATOR);
                ArrowStreamWriter writer = new ArrowStreamWriter(root, null, ipc)) {
            for (int i = 0; i < values.length; i++) {
                ((IntVector) root.getVector(0)).setSafe(i, values[i]);
            }
            root.setRowCount(values.length);
            writer.writeBatch();
            writer.end();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return messages(ipc.toByteArray());
    }

    /** The table catalog. */
    static List<Flight.FlightData> tables(Collection<String> names) {
        ByteArrayOutputStream ipc = new ByteArrayOutputStream();
        try (VectorSchemaRoot root =
                        VectorSchemaRoot.create(Schemas.GET_TABLES_SCHEMA_NO_SCHEMA, ALLOCATOR);
                ArrowStreamWriter writer = new ArrowStreamWriter(root, null, ipc)) {
            root.allocateNew();
            int row = 0;
            for (String name : names) {
                ((VarCharVector) root.getVector("table_name"))
                        .setSafe(row, name.getBytes(StandardCharsets.UTF_8));
                ((VarCharVector) root.getVector("table_type"))
                        .setSafe(row, "TABLE".getBytes(StandardCharsets.UTF_8));
                row++;
            }
            root.setRowCount(row);
            writer.writeBatch();
            writer.end();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
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

    /** The texts of one column of a result that was received whole. */
    static List<String> column(List<Flight.FlightData> received, String name) throws IOException {
        ByteArrayOutputStream ipc = new ByteArrayOutputStream();
        for (Flight.FlightData message : received) {
            byte[] header = message.getDataHeader().toByteArray();
            ByteBuffer prefix = ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN);
            ipc.write(prefix.putInt(-1).putInt(header.length).array());
            ipc.write(header);
            ipc.write(message.getDataBody().toByteArray());
        }
        ipc.write(new byte[] {-1, -1, -1, -1, 0, 0, 0, 0});
        List<String> out = new ArrayList<>();
        try (ArrowStreamReader reader =
                new ArrowStreamReader(
                        new java.io.ByteArrayInputStream(ipc.toByteArray()), ALLOCATOR)) {
            VectorSchemaRoot root = reader.getVectorSchemaRoot();
            while (reader.loadNextBatch()) {
                for (int i = 0; i < root.getRowCount(); i++) {
                    out.add(String.valueOf(root.getVector(name).getObject(i)));
                }
            }
        }
        return out;
    }
}
