// SPDX-License-Identifier: Apache-2.0
package review;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamReader;
import org.apache.arrow.vector.ipc.ArrowStreamWriter;

/** Results of one text column, as Flight carries them. */
public final class Rows {
    private static final BufferAllocator ALLOCATOR = new RootAllocator();

    private Rows() {}

    /** The schema, then a message for each batch. */
    public static synchronized List<Flight.FlightData> encode(List<List<String>> batches)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (VarCharVector column = new VarCharVector("c1", ALLOCATOR);
                VectorSchemaRoot root = new VectorSchemaRoot(List.of(column));
                ArrowStreamWriter writer = new ArrowStreamWriter(root, null, bytes)) {
            writer.start();
            for (List<String> batch : batches) {
                for (int i = 0; i < batch.size(); i++) {
                    column.setSafe(i, batch.get(i).getBytes(StandardCharsets.UTF_8));
                }
                root.setRowCount(batch.size());
                writer.writeBatch();
            }
        }
        return split(bytes.toByteArray());
    }

    private static List<Flight.FlightData> split(byte[] stream) {
        List<Flight.FlightData> out = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(stream).order(ByteOrder.LITTLE_ENDIAN);
        while (in.remaining() >= 8) {
            in.getInt(); // The mark of a message.
            int length = in.getInt();
            if (length == 0) {
                break;
            }
            byte[] header = new byte[length];
            in.get(header);
            byte[] body =
                    new byte
                            [(int) Message.getRootAsMessage(ByteBuffer.wrap(header)).bodyLength()];
            in.get(body);
            out.add(
                    Flight.FlightData.newBuilder()
                            .setDataHeader(ByteString.copyFrom(header))
                            .setDataBody(ByteString.copyFrom(body))
                            .build());
        }
        return out;
    }

    /** The rows in these messages; throws where they are no complete Arrow messages. */
    public static synchronized List<String> decode(List<Flight.FlightData> messages)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        for (Flight.FlightData each : messages) {
            out.writeInt(-1);
            out.writeInt(Integer.reverseBytes(each.getDataHeader().size()));
            each.getDataHeader().writeTo(out);
            each.getDataBody().writeTo(out);
        }
        List<String> rows = new ArrayList<>();
        if (messages.isEmpty()) {
            return rows;
        }
        try (ArrowStreamReader reader =
                new ArrowStreamReader(new ByteArrayInputStream(bytes.toByteArray()), ALLOCATOR)) {
            VectorSchemaRoot root = reader.getVectorSchemaRoot();
            while (reader.loadNextBatch()) {
                for (int i = 0; i < root.getRowCount(); i++) {
                    rows.add(root.getVector(0).getObject(i).toString());
                }
            }
        }
        return rows;
    }
}
