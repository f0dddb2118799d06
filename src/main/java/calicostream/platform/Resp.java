// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.InvalidInputException;
import calicostream.net.RingBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads and writes RESP arrays of bulk strings. */
final class Resp {
    private static final int MAX_ITEMS = 8;
    private static final int MAX_ITEM_BYTES = 128 * 1024;
    private static final int MAX_COUNT_LINE_BYTES = 12;
    private final RingBuffer input;
    private int position;

    private Resp(RingBuffer input) {
        this.input = input;
    }

    /** Removes the next complete array from the buffer; null where more bytes are needed. */
    static byte[][] readArray(RingBuffer input) throws InvalidInputException {
        Resp reader = new Resp(input);
        int count = reader.readCount('*', MAX_ITEMS);
        if (count < 0) {
            return null;
        }
        byte[][] items = new byte[count][];
        for (int i = 0; i < count; i++) {
            int length = reader.readCount('$', MAX_ITEM_BYTES);
            if (length < 0 || input.size() < reader.position + length + 2) {
                return null;
            }
            items[i] = input.copy(reader.position, length);
            reader.position += length;
            if (input.get(reader.position) != '\r' || input.get(reader.position + 1) != '\n') {
                throw new InvalidInputException("a bulk string is longer than its length");
            }
            reader.position += 2;
        }
        input.skip(reader.position);
        return items;
    }

    /** Reads a type byte, a count and CR LF; returns -1 where more bytes are needed. */
    private int readCount(char type, int max) throws InvalidInputException {
        int end = input.indexOf((byte) '\n', position);
        if (end < 0
                ? input.size() - position > MAX_COUNT_LINE_BYTES
                : end - position > MAX_COUNT_LINE_BYTES) {
            throw new InvalidInputException("a count is too long");
        }
        if (input.size() > position && input.get(position) != type) {
            throw new InvalidInputException("not an array of bulk strings");
        }
        if (end < 0) {
            return -1;
        }
        int value = 0;
        for (int i = position + 1; i < end - 1; i++) {
            int digit = input.get(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new InvalidInputException("a count is not a number");
            }
            value = value * 10 + digit;
            if (value > max) {
                throw new InvalidInputException("a count is too large");
            }
        }
        if (end - position < 3 || input.get(end - 1) != '\r') {
            throw new InvalidInputException("a count does not end in CR LF");
        }
        position = end + 1;
        return value;
    }

    static byte[] array(byte[]... items) {
        int size = 16;
        for (byte[] item : items) {
            size += item.length + 16;
        }
        byte[] out = new byte[size];
        int position = putAscii(out, 0, "*" + items.length + "\r\n");
        for (byte[] item : items) {
            position = putAscii(out, position, "$" + item.length + "\r\n");
            System.arraycopy(item, 0, out, position, item.length);
            position = putAscii(out, position + item.length, "\r\n");
        }
        return Arrays.copyOf(out, position);
    }

    static byte[] command(String... words) {
        byte[][] items = new byte[words.length][];
        for (int i = 0; i < words.length; i++) {
            items[i] = ascii(words[i]);
        }
        return array(items);
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static int putAscii(byte[] out, int position, String text) {
        for (int i = 0; i < text.length(); i++) {
            out[position + i] = (byte) text.charAt(i);
        }
        return position + text.length();
    }
}
