// SPDX-License-Identifier: Apache-2.0
package calicostream.flight;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamReader;
import org.apache.arrow.vector.ipc.ArrowStreamWriter;

/**
 * The two forms a result has: Arrow's IPC stream, as Flight SQL engines send it, and rows of text, as the
 * platform's do. The number of rows that an update changed is eight bytes, which is neither.
 */
final class ArrowRows {
    private ArrowRows() { }

    static byte[] count(long rows) {
        return ByteBuffer.allocate(Long.BYTES).putLong(rows).array();
    }

    static boolean isCount(byte[] result) {
        return result.length == Long.BYTES;
    }

    static long count(byte[] result) {
        return ByteBuffer.wrap(result).getLong();
    }

    /** Rows of text as an IPC stream of text columns. */
    static byte[] fromText(byte[] rows, BufferAllocator allocator) {
        String text = new String(rows, StandardCharsets.UTF_8);
        String[] lines = text.isEmpty() ? new String[0] : text.split("\n", -1);
        int count = text.endsWith("\n") ? lines.length - 1 : lines.length;
        int columns = count == 0 ? 0 : lines[0].split("\t", -1).length;
        List<FieldVector> vectors = new ArrayList<>();
        for (int i = 0; i < columns; i++) {
            VarCharVector vector = new VarCharVector("c" + (i + 1), allocator);
            vector.allocateNew();
            vectors.add(vector);
        }
        try (VectorSchemaRoot root = new VectorSchemaRoot(vectors);
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                ArrowStreamWriter writer = new ArrowStreamWriter(root, null, out)) {
            for (int row = 0; row < count; row++) {
                String[] cells = lines[row].split("\t", -1);
                for (int i = 0; i < Math.min(columns, cells.length); i++) {
                    ((VarCharVector) vectors.get(i)).setSafe(row, cells[i].getBytes(StandardCharsets.UTF_8));
                }
            }
            root.setRowCount(count);
            writer.start();
            writer.writeBatch();
            writer.end();
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** An engine's Arrow result, or the count of an update, as rows of text. */
    static byte[] toText(byte[] result, BufferAllocator allocator) {
        if (isCount(result)) {
            return (count(result) + "\n").getBytes(StandardCharsets.UTF_8);
        }
        StringBuilder out = new StringBuilder();
        try (ArrowStreamReader reader = new ArrowStreamReader(new ByteArrayInputStream(result), allocator)) {
            VectorSchemaRoot root = reader.getVectorSchemaRoot();
            while (reader.loadNextBatch()) {
                for (int row = 0; row < root.getRowCount(); row++) {
                    for (int i = 0; i < root.getFieldVectors().size(); i++) {
                        Object cell = root.getVector(i).getObject(row);
                        out.append(i > 0 ? "\t" : "").append(cell == null ? "" : cell);
                    }
                    out.append('\n');
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString().getBytes(StandardCharsets.UTF_8);
    }
}
