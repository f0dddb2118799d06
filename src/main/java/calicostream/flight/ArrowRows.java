// SPDX-License-Identifier: Apache-2.0
package calicostream.flight;

import calicostream.core.RequestResult;
import calicostream.core.TextResult;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.SchemaReader;
import calicostream.flight.wire.UnreadableSchemaException;
import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.Channels;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.VectorUnloader;
import org.apache.arrow.vector.ipc.ArrowStreamReader;
import org.apache.arrow.vector.ipc.WriteChannel;
import org.apache.arrow.vector.ipc.message.ArrowRecordBatch;
import org.apache.arrow.vector.ipc.message.MessageSerializer;

/**
 * The two forms a result has: frames of Arrow's stream, as Flight SQL engines send it, and rows of
 * text, as the platform's do.
 */
public final class ArrowRows {
    /** Bounds what results take while they change their form. */
    public static final BufferAllocator ALLOCATOR = new RootAllocator(64 << 20);

    private ArrowRows() {}

    /** Rows of text as frames of a stream of text columns. */
    public static List<FlightFrame> frames(byte[] rows) {
        String text = new String(rows, StandardCharsets.UTF_8);
        String[] lines = text.isEmpty() ? new String[0] : text.split("\n", -1);
        int count = text.endsWith("\n") ? lines.length - 1 : lines.length;
        int columns = count == 0 ? 0 : lines[0].split("\t", -1).length;
        List<FieldVector> vectors = new ArrayList<>();
        for (int i = 0; i < columns; i++) {
            VarCharVector vector = new VarCharVector("c" + (i + 1), ALLOCATOR);
            vector.allocateNew();
            vectors.add(vector);
        }
        try (VectorSchemaRoot root = new VectorSchemaRoot(vectors)) {
            for (int row = 0; row < count; row++) {
                String[] cells = lines[row].split("\t", -1);
                for (int i = 0; i < Math.min(columns, cells.length); i++) {
                    ((VarCharVector) vectors.get(i))
                            .setSafe(row, cells[i].getBytes(StandardCharsets.UTF_8));
                }
            }
            root.setRowCount(count);
            return List.of(
                    FlightFrame.of(
                            ByteString.EMPTY,
                            FlightWire.schemaHeader(root.getSchema()),
                            ByteString.EMPTY,
                            ByteString.EMPTY),
                    batch(root));
        }
    }

    /** One batch as a frame. */
    public static FlightFrame batch(VectorSchemaRoot root) {
        try (ArrowRecordBatch batch = new VectorUnloader(root).getRecordBatch()) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            MessageSerializer.serialize(new WriteChannel(Channels.newChannel(out)), batch);
            byte[] ipc = out.toByteArray();
            ByteBuffer lead = ByteBuffer.wrap(ipc).order(ByteOrder.LITTLE_ENDIAN);
            int header = lead.getInt(Integer.BYTES);
            int body = 2 * Integer.BYTES + header;
            return FlightFrame.of(
                    ByteString.EMPTY,
                    ByteString.copyFrom(ipc, 2 * Integer.BYTES, header),
                    ByteString.EMPTY,
                    ByteString.copyFrom(ipc, body, ipc.length - body));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Frames as an IPC stream; bodies off the heap are used up. */
    private static byte[] ipc(List<FlightFrame> frames) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (FlightFrame frame : frames) {
                frame.writeIpc(out);
            }
            FlightFrame.endIpc(out);
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Opens a reader of an engine's result, whose schema is checked before the library reads it.
     * Bodies off the heap are used up.
     *
     * @throws UnreadableSchemaException where the schema can't be read
     */
    public static ArrowStreamReader reader(List<FlightFrame> frames)
            throws UnreadableSchemaException {
        for (FlightFrame frame : frames) {
            if (frame.kind() == FlightFrame.Kind.SCHEMA) {
                SchemaReader.verify(frame);
            }
        }
        return new ArrowStreamReader(new ByteArrayInputStream(ipc(frames)), ALLOCATOR);
    }

    public static String cell(Object value) {
        return value == null ? "" : value.toString();
    }

    /** Rows of text, or the count of an update, as rows of text. */
    public static byte[] text(RequestResult result) {
        return result instanceof EngineResult.Counted counted
                ? (counted.rows() + "\n").getBytes(StandardCharsets.UTF_8)
                : ((TextResult) result).text();
    }

    /**
     * Reads an engine's result as rows of text. Bodies off the heap are used up.
     *
     * @param maxChars the length up to which the text is made
     * @throws ResultTooLongException where the text is longer
     * @throws IOException where the frames can't be read
     * @throws RuntimeException likewise, as the library finds some faults no earlier
     */
    public static byte[] text(List<FlightFrame> frames, long maxChars) throws IOException {
        StringBuilder out = new StringBuilder();
        try (ArrowStreamReader reader = reader(frames)) {
            VectorSchemaRoot root = reader.getVectorSchemaRoot();
            while (reader.loadNextBatch()) {
                for (int row = 0; row < root.getRowCount(); row++) {
                    for (int i = 0; i < root.getFieldVectors().size(); i++) {
                        out.append(i > 0 ? "\t" : "")
                                .append(cell(root.getVector(i).getObject(row)));
                    }
                    out.append('\n');
                    if (out.length() > maxChars) {
                        throw new ResultTooLongException(maxChars);
                    }
                }
            }
        }
        return out.toString().getBytes(StandardCharsets.UTF_8);
    }
}
