// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.InvalidInputException;
import calicostream.net.RingBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** RESP arrays of bulk strings. */
final class Resp {
    private static final int MOST_ITEMS = 8;
    private static final int LONGEST_ITEM = 128 * 1024;
    private static final int LONGEST_COUNT = 12;
    private final RingBuffer ring;
    private int at;

    private Resp(RingBuffer ring) {
        this.ring = ring;
    }

    /** Takes the next whole array out of the ring, or null where more bytes are needed. */
    static byte[][] take(RingBuffer ring) throws InvalidInputException {
        Resp reader = new Resp(ring);
        int count = reader.count('*', MOST_ITEMS);
        if (count < 0) {
            return null;
        }
        byte[][] items = new byte[count][];
        for (int i = 0; i < count; i++) {
            int length = reader.count('$', LONGEST_ITEM);
            if (length < 0 || ring.size() < reader.at + length + 2) {
                return null;
            }
            items[i] = ring.copy(reader.at, length);
            reader.at += length;
            if (ring.get(reader.at) != '\r' || ring.get(reader.at + 1) != '\n') {
                throw new InvalidInputException("a bulk string runs past its length");
            }
            reader.at += 2;
        }
        ring.skip(reader.at);
        return items;
    }

    /** A type byte, a count and CR LF; -1 where more bytes are needed. */
    private int count(char type, int most) throws InvalidInputException {
        int end = ring.indexOf((byte) '\n', at);
        if (end < 0 ? ring.size() - at > LONGEST_COUNT : end - at > LONGEST_COUNT) {
            throw new InvalidInputException("a count is too long");
        }
        if (ring.size() > at && ring.get(at) != type) {
            throw new InvalidInputException("not an array of bulk strings");
        }
        if (end < 0) {
            return -1;
        }
        int value = 0;
        for (int i = at + 1; i < end - 1; i++) {
            int digit = ring.get(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new InvalidInputException("a count is not a number");
            }
            value = value * 10 + digit;
            if (value > most) {
                throw new InvalidInputException("a count is too large");
            }
        }
        if (end - at < 3 || ring.get(end - 1) != '\r') {
            throw new InvalidInputException("a count is cut");
        }
        at = end + 1;
        return value;
    }

    static byte[] array(byte[]... items) {
        int size = 16;
        for (byte[] item : items) {
            size += item.length + 16;
        }
        byte[] out = new byte[size];
        int at = text(out, 0, "*" + items.length + "\r\n");
        for (byte[] item : items) {
            at = text(out, at, "$" + item.length + "\r\n");
            System.arraycopy(item, 0, out, at, item.length);
            at = text(out, at + item.length, "\r\n");
        }
        return Arrays.copyOf(out, at);
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

    private static int text(byte[] out, int at, String text) {
        for (int i = 0; i < text.length(); i++) {
            out[at + i] = (byte) text.charAt(i);
        }
        return at + text.length();
    }
}
