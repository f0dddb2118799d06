// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.arrow.vector.types.FloatingPointPrecision;
import org.apache.arrow.vector.types.UnionMode;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.DictionaryEncoding;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.FieldType;
import org.apache.arrow.vector.types.pojo.Schema;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Schemas of clients and engines that cannot be read must neither overflow the stack nor run on.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SchemaReaderTest {
    /** The stack of the event loop in the deploy file. */
    private static final int STACK_BYTES = 512 * 1024;

    private static final int MUTATED_MESSAGES = 20_000;
    private static final int SOUND_SCHEMAS = 500;
    private static final int LARGE_COUNT = 1 << 30;

    @Test
    void rejectsColumnThatIsItsOwnChild() {
        assertUnreadable(SchemaMessages.cyclic());
    }

    @Test
    void readsFieldsUpToTheDepthLimitAndRejectsDeeperOnes() throws Exception {
        Schema deepest = read(SchemaMessages.nested(SchemaVerifier.MAX_DEPTH));
        int depth = 0;
        for (List<Field> fields = deepest.getFields(); !fields.isEmpty(); depth++) {
            fields = fields.get(0).getChildren();
        }
        assertEquals(SchemaVerifier.MAX_DEPTH, depth);
        assertUnreadable(SchemaMessages.nested(SchemaVerifier.MAX_DEPTH + 1));
        assertUnreadable(SchemaMessages.nested(500));
    }

    /** A few hundred bytes that unfold to 2^40 fields, without being nested too deeply. */
    @Test
    void rejectsFieldsThatShareTheirChildren() {
        assertUnreadable(SchemaMessages.sharing(40, 2));
        assertUnreadable(SchemaMessages.sharing(4, 200));
    }

    @ParameterizedTest
    @ValueSource(ints = {LARGE_COUNT, Integer.MAX_VALUE, -1, Integer.MIN_VALUE, 1000})
    void rejectsCountsBeyondTheMessage(int count) {
        assertUnreadable(SchemaMessages.withChildCount(count));
        assertUnreadable(SchemaMessages.withUnionTypeCount(count));
    }

    @ParameterizedTest
    @ValueSource(ints = {LARGE_COUNT, Integer.MAX_VALUE, -1, Integer.MIN_VALUE, 0})
    void rejectsMessageOfAnotherLengthThanItClaims(int claimedLength) {
        ByteString message = SchemaMessages.enclosed(SchemaMessages.nested(2), claimedLength);
        assertThrows(UnreadableSchemaException.class, () -> SchemaReader.readMessage(message));
    }

    @Test
    void rejectsBytesThatAreNoMessage() {
        assertUnreadable(ByteString.EMPTY);
        assertUnreadable(ByteString.copyFrom(new byte[200]));
        assertThrows(
                UnreadableSchemaException.class,
                () -> SchemaReader.readMessage(ByteString.copyFrom(new byte[3])));
    }

    /** What the library's own writer writes is read as the library reads it. */
    @Test
    void readsSoundSchemasAsTheLibraryDoes() throws Exception {
        Random random = new Random(1);
        for (int i = 0; i < SOUND_SCHEMAS; i++) {
            Schema schema = randomSchema(random);
            assertEquals(schema, read(FlightWire.schemaHeader(schema)));
            assertEquals(schema, SchemaReader.readMessage(FlightWire.schema(schema)));
        }
    }

    /** Wrong words at any place end in a schema or in the one exception, on a short stack. */
    @Test
    void rejectsOrReadsMutatedSchemas() throws Exception {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Thread reader =
                new Thread(null, () -> readMutatedSchemas(new Random(2)), "reader", STACK_BYTES);
        reader.setUncaughtExceptionHandler((thread, error) -> failure.set(error));
        reader.start();
        reader.join();
        assertNull(failure.get());
    }

    private static void readMutatedSchemas(Random random) {
        for (int i = 0; i < MUTATED_MESSAGES; i++) {
            byte[] message = FlightWire.schemaHeader(randomSchema(random)).toByteArray();
            ByteBuffer words = ByteBuffer.wrap(message).order(ByteOrder.LITTLE_ENDIAN);
            for (int change = random.nextInt(3); change >= 0; change--) {
                int position = random.nextInt(message.length / Integer.BYTES) * Integer.BYTES;
                words.putInt(position, mutatedWord(random, message.length));
            }
            try {
                read(ByteString.copyFrom(message));
            } catch (IOException e) {
                continue;
            }
        }
    }

    private static int mutatedWord(Random random, int messageBytes) {
        switch (random.nextInt(4)) {
            case 0:
                return random.nextInt();
            case 1:
                return -random.nextInt(messageBytes);
            case 2:
                return random.nextInt(messageBytes);
            default:
                return random.nextBoolean() ? Integer.MAX_VALUE : Integer.MIN_VALUE;
        }
    }

    private static Schema randomSchema(Random random) {
        List<Field> fields = new ArrayList<>();
        for (int count = random.nextInt(4); count >= 0; count--) {
            fields.add(randomField(random, 0));
        }
        return new Schema(fields, random.nextBoolean() ? Map.of("k", "v", "", "é") : null);
    }

    private static Field randomField(Random random, int depth) {
        Map<String, String> metadata = random.nextInt(3) == 0 ? Map.of("unit", "mm") : null;
        DictionaryEncoding dictionary =
                random.nextInt(5) == 0 ? new DictionaryEncoding(7, false, null) : null;
        ArrowType type = randomType(random, depth);
        List<Field> children = new ArrayList<>();
        if (type instanceof ArrowType.List || type instanceof ArrowType.FixedSizeList) {
            children.add(randomField(random, depth + 1));
        } else if (type.isComplex()) {
            children.add(randomField(random, depth + 1));
            children.add(randomField(random, depth + 1));
        }
        return new Field(
                random.nextInt(6) == 0 ? "" : "column " + depth,
                new FieldType(random.nextBoolean(), type, dictionary, metadata),
                children);
    }

    private static ArrowType randomType(Random random, int depth) {
        switch (random.nextInt(depth < 5 ? 10 : 6)) {
            case 0:
                return new ArrowType.Int(32, true);
            case 1:
                return new ArrowType.FloatingPoint(FloatingPointPrecision.DOUBLE);
            case 2:
                return new ArrowType.Timestamp(
                        org.apache.arrow.vector.types.TimeUnit.MICROSECOND, "Europe/Oslo");
            case 3:
                return new ArrowType.Decimal(20, 2, 128);
            case 4:
                return ArrowType.Null.INSTANCE;
            case 5:
                return ArrowType.Utf8.INSTANCE;
            case 6:
                return ArrowType.List.INSTANCE;
            case 7:
                return ArrowType.Struct.INSTANCE;
            case 8:
                return new ArrowType.FixedSizeList(3);
            default:
                return new ArrowType.Union(UnionMode.Dense, new int[] {0, 1});
        }
    }

    private static Schema read(ByteString header) throws UnreadableSchemaException {
        return SchemaReader.read(SchemaMessages.frame(header));
    }

    private static void assertUnreadable(ByteString header) {
        assertThrows(UnreadableSchemaException.class, () -> read(header));
        assertThrows(
                UnreadableSchemaException.class,
                () -> SchemaReader.verify(SchemaMessages.frame(header)),
                "refused before the library reads it");
        assertThrows(
                UnreadableSchemaException.class,
                () -> SchemaReader.readMessage(SchemaMessages.enclosed(header)));
    }
}
