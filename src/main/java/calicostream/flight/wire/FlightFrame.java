// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.WireFormat;
import io.grpc.Detachable;
import io.grpc.Drainable;
import io.grpc.KnownLength;
import io.grpc.MethodDescriptor;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.SequenceInputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.flatbuf.MessageHeader;
import org.apache.arrow.flatbuf.RecordBatch;
import org.apache.arrow.flight.impl.Flight;

/**
 * One FlightData message, passed on as it came. Its body, where long, stays in the transport's own
 * buffers, off the heap, and can be written once; whoever drops a frame unwritten must {@link
 * #release} it. Only the small fields before the body are looked at. A message that can't be read
 * is a frame of kind BAD, so that each side can say so in its own words.
 */
public final class FlightFrame {
    /** What a frame carries, by Arrow's message header. */
    public enum Kind {
        SCHEMA,
        BATCH,
        DICTIONARY,
        NO_ARROW,
        BAD
    }

    /** Frames as gRPC messages. */
    public static final MethodDescriptor.Marshaller<FlightFrame> MARSHALLER =
            new MethodDescriptor.Marshaller<>() {
                @Override
                public InputStream stream(FlightFrame frame) {
                    return frame.open();
                }

                @Override
                public FlightFrame parse(InputStream stream) {
                    try {
                        return read(stream);
                    } catch (IOException e) {
                        return new FlightFrame(new byte[0], null, 0).bad();
                    }
                }
            };

    private static final int SMALL =
            64 << 10; // Shorter ones are not worth keeping the transport's buffers.
    private static final int MOST_LEAD = 16 << 20;
    private static final int DESCRIPTOR = 1, HEADER = 2, METADATA = 3, BODY = 1000;
    private static final int BODY_TAG = BODY << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED;
    private static final int CONTINUES = 0xFFFFFFFF;
    private final byte[] lead; // all of the message, or all up to the first byte of the body
    private final int bodyLength;
    private InputStream body; // null: the body is in the lead, or has been written
    private int headerAt, headerLength, bodyAt = -1, bodyEnd;
    private ByteString descriptor, metadata = ByteString.EMPTY;
    private Kind kind = Kind.NO_ARROW;

    private FlightFrame(byte[] lead, InputStream body, int bodyLength) {
        this.lead = lead;
        this.body = body;
        this.bodyLength = bodyLength;
    }

    private FlightFrame bad() {
        kind = Kind.BAD;
        return this;
    }

    /** A whole message. */
    public static FlightFrame of(byte[] message) {
        return new FlightFrame(message, null, 0).parsed();
    }

    /** A message of its parts; descriptor and metadata may be empty. */
    public static FlightFrame of(
            ByteString descriptor, ByteString header, ByteString metadata, ByteString body) {
        Flight.FlightData.Builder out =
                Flight.FlightData.newBuilder()
                        .setDataHeader(header)
                        .setAppMetadata(metadata)
                        .setDataBody(body);
        try {
            return of(
                    (descriptor.isEmpty()
                                    ? out
                                    : out.setFlightDescriptor(
                                            Flight.FlightDescriptor.parseFrom(descriptor)))
                            .build()
                            .toByteArray());
        } catch (InvalidProtocolBufferException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static FlightFrame read(InputStream in) throws IOException {
        int total = in.available();
        if (total <= SMALL || !(in instanceof Detachable detachable)) {
            return of(in.readAllBytes());
        }
        ByteArrayOutputStream lead = new ByteArrayOutputStream(1024);
        while (lead.size() < MOST_LEAD) {
            int tag = varint(in, lead);
            int length =
                    WireFormat.getTagWireType(tag) == WireFormat.WIRETYPE_LENGTH_DELIMITED
                            ? varint(in, lead)
                            : -1;
            if (tag == BODY_TAG && length == in.available()) {
                return new FlightFrame(lead.toByteArray(), detachable.detach(), length).parsed();
            }
            if (tag == BODY_TAG || length < 0 || length > in.available()) {
                break;
            }
            lead.write(in.readNBytes(length));
        }
        lead.write(in.readAllBytes()); // An order of fields that no known writer uses.
        return of(lead.toByteArray());
    }

    private static int varint(InputStream in, OutputStream copy) throws IOException {
        int value = 0;
        for (int shift = 0; shift < 35; shift += 7) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException();
            }
            copy.write(b);
            value |= (b & 0x7f) << shift;
            if (b < 0x80) {
                return value;
            }
        }
        throw new IOException("not a varint");
    }

    private FlightFrame parsed() {
        try {
            CodedInputStream in = CodedInputStream.newInstance(lead);
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                int field = WireFormat.getTagFieldNumber(tag);
                if (field == BODY) {
                    int length = in.readRawVarint32();
                    bodyAt = in.getTotalBytesRead();
                    bodyEnd = bodyAt + length;
                    if (body != null) {
                        break;
                    }
                    in.skipRawBytes(length);
                } else if (field == HEADER) {
                    headerLength = in.readRawVarint32();
                    headerAt = in.getTotalBytesRead();
                    in.skipRawBytes(headerLength);
                } else if (field == DESCRIPTOR) {
                    descriptor = in.readBytes();
                } else if (field == METADATA) {
                    metadata = in.readBytes();
                } else {
                    in.skipField(tag);
                }
            }
            kind = headerLength == 0 ? Kind.NO_ARROW : kindOf(message());
        } catch (IOException
                | RuntimeException e) { // Arrow's headers are read without checks of their own.
            kind = Kind.BAD;
        }
        return this;
    }

    private static Kind kindOf(Message message) {
        if (message.bodyLength() < 0) {
            return Kind.BAD;
        }
        switch (message.headerType()) {
            case MessageHeader.Schema:
                return Kind.SCHEMA;
            case MessageHeader.RecordBatch:
                return message.header(new RecordBatch()) == null ? Kind.BAD : Kind.BATCH;
            case MessageHeader.DictionaryBatch:
                return Kind.DICTIONARY;
            default:
                return Kind.BAD;
        }
    }

    private Message message() {
        return Message.getRootAsMessage(
                ByteBuffer.wrap(lead, headerAt, headerLength)
                        .slice()
                        .order(ByteOrder.LITTLE_ENDIAN));
    }

    public Kind kind() {
        return kind;
    }

    /** Rows of a batch, 0 of anything else. */
    public long rows() {
        return kind == Kind.BATCH
                ? ((RecordBatch) message().header(new RecordBatch())).length()
                : 0;
    }

    /** Bytes of the whole message. */
    public int bytes() {
        return lead.length + bodyLength;
    }

    /** The descriptor, of the first frame of an upload; null where there is none. */
    public Flight.FlightDescriptor descriptor() throws InvalidProtocolBufferException {
        return descriptor == null ? null : Flight.FlightDescriptor.parseFrom(descriptor);
    }

    public ByteString metadata() {
        return metadata;
    }

    public ByteString header() {
        return ByteString.copyFrom(lead, headerAt, headerLength);
    }

    /** The same with this descriptor, or none, in place of its own; this frame is used up. */
    public FlightFrame describedBy(Flight.FlightDescriptor by) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream(lead.length + 64);
            CodedOutputStream coded = CodedOutputStream.newInstance(out);
            if (by != null) {
                coded.writeMessage(DESCRIPTOR, by);
            }
            CodedInputStream in = CodedInputStream.newInstance(lead);
            int from = 0;
            for (int tag = in.readTag();
                    tag != 0;
                    from = in.getTotalBytesRead(), tag = in.readTag()) {
                int field = WireFormat.getTagFieldNumber(tag);
                if (field == BODY && body != null) {
                    coded.writeRawBytes(lead, from, lead.length - from);
                    break;
                }
                in.skipField(tag);
                if (field != DESCRIPTOR) {
                    coded.writeRawBytes(lead, from, in.getTotalBytesRead() - from);
                }
            }
            coded.flush();
            FlightFrame out2 = new FlightFrame(out.toByteArray(), body, bodyLength).parsed();
            body = null;
            return out2;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The same on the heap, to be written any number of times. */
    public FlightFrame solid() {
        if (body == null) {
            return this;
        }
        try (InputStream in = open()) {
            return of(in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes it in the form that it has in Arrow's IPC stream; a body off the heap is used up. */
    public void writeIpc(OutputStream out) throws IOException {
        int padding = -headerLength & 7;
        out.write(
                ByteBuffer.allocate(2 * Integer.BYTES)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(CONTINUES)
                        .putInt(headerLength + padding)
                        .array());
        out.write(lead, headerAt, headerLength);
        out.write(new byte[padding]);
        if (body != null) {
            try (InputStream in = body) {
                in.transferTo(out);
            }
            body = null;
        } else if (bodyAt >= 0) {
            out.write(lead, bodyAt, bodyEnd - bodyAt);
        }
    }

    /** The mark at the end of an IPC stream. */
    public static void endIpc(OutputStream out) throws IOException {
        out.write(ByteBuffer.allocate(2 * Integer.BYTES).putInt(CONTINUES).putInt(0).array());
    }

    /** Gives the transport's buffers back, if it has any. */
    public void release() {
        if (body != null) {
            try {
                body.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            body = null;
        }
    }

    private InputStream open() {
        if (bodyLength == 0) {
            return new ByteArrayInputStream(lead);
        }
        if (body == null) {
            throw new IllegalStateException("a frame with a body off the heap is written once");
        }
        InputStream once = body;
        body = null;
        return new Whole(lead, once, lead.length + bodyLength);
    }

    /** A lead and a body as one stream of known length. */
    private static final class Whole extends SequenceInputStream implements KnownLength, Drainable {
        private static final int CHUNK = 64 << 10;
        private static final ThreadLocal<byte[]> CHUNKS =
                ThreadLocal.withInitial(() -> new byte[CHUNK]);
        private final byte[] lead;
        private final InputStream body;
        private final int length;

        Whole(byte[] lead, InputStream body, int length) {
            super(new ByteArrayInputStream(lead), body);
            this.lead = lead;
            this.body = body;
            this.length = length;
        }

        @Override
        public int available() {
            return length;
        }

        @Override
        public int drainTo(OutputStream target) throws IOException {
            target.write(lead);
            byte[] chunk = CHUNKS.get();
            for (int n = body.read(chunk); n >= 0; n = body.read(chunk)) {
                target.write(chunk, 0, n);
            }
            return length;
        }
    }
}
