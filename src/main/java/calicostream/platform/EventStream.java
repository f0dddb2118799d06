// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.InvalidInputException;
import calicostream.net.RingBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Incremental parser of one HTTP response that holds server-sent events, with or without chunked
 * encoding. An event is passed on when the empty line that ends it is received; an incomplete event
 * is dropped when the connection closes.
 */
final class EventStream {
    /** Enough for a complete list of thousands of engines. */
    private static final int MAX_EVENT_CHARS = 1024 * 1024;

    private final Consumer<String> eventListener;
    private final StringBuilder line = new StringBuilder();
    private final StringBuilder data = new StringBuilder();
    private String statusLine;
    private boolean chunked;
    private boolean inBody;
    private boolean expectsChunkEnd;
    private long chunkBytesLeft;

    EventStream(Consumer<String> eventListener) {
        this.eventListener = eventListener;
    }

    /** Whether the head of the response was received: its status is 200 and events follow. */
    boolean hasStarted() {
        return inBody;
    }

    /** Whether no event or chunk is partially received. */
    boolean isBetweenEvents() {
        return line.length() == 0 && data.length() == 0 && chunkBytesLeft == 0;
    }

    /** Consumes and parses the input as far as it is complete. */
    void consume(RingBuffer input) throws InvalidInputException {
        while (consumeNext(input)) {
            if (line.length() > MAX_EVENT_CHARS || data.length() > MAX_EVENT_CHARS) {
                throw new InvalidInputException("an event is too long");
            }
        }
        if (input.remainingCapacity() == 0) {
            throw new InvalidInputException("a response header is too long");
        }
    }

    /**
     * Consumes the next line, part of a line or chunk header; returns false where more bytes are
     * needed.
     */
    private boolean consumeNext(RingBuffer input) throws InvalidInputException {
        if (inBody && chunked && chunkBytesLeft == 0) {
            return consumeChunkHeader(input);
        }
        int end = input.indexOf((byte) '\n', 0);
        int available =
                inBody && chunked ? (int) Math.min(input.size(), chunkBytesLeft) : input.size();
        int length = end >= 0 && end < available ? end + 1 : inBody ? available : 0;
        if (length == 0) {
            return false;
        }
        // Every byte is one character in ISO 8859-1, so no UTF-8 sequence is split between reads. A
        // complete line is decoded as UTF-8 below.
        String text = new String(input.copy(0, length), StandardCharsets.ISO_8859_1);
        input.skip(length);
        if (inBody && chunked) {
            chunkBytesLeft -= length;
            expectsChunkEnd = chunkBytesLeft == 0;
        }
        line.append(text);
        if (text.endsWith("\n")) {
            String completeLine = line.toString().stripTrailing();
            line.setLength(0);
            if (inBody) {
                parseField(
                        new String(
                                completeLine.getBytes(StandardCharsets.ISO_8859_1),
                                StandardCharsets.UTF_8));
            } else {
                parseHeader(completeLine);
            }
        }
        return true;
    }

    private boolean consumeChunkHeader(RingBuffer input) throws InvalidInputException {
        int end = input.indexOf((byte) '\n', 0);
        if (end < 0) {
            return false;
        }
        String text =
                new String(input.copy(0, end), StandardCharsets.US_ASCII).split(";")[0].trim();
        input.skip(end + 1);
        if (expectsChunkEnd && text.isEmpty()) {
            expectsChunkEnd = false;
            return true;
        }
        try {
            chunkBytesLeft = Long.parseLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("invalid chunk size");
        }
        if (chunkBytesLeft <= 0) {
            throw new InvalidInputException("the stream ended");
        }
        return true;
    }

    private void parseHeader(String header) throws InvalidInputException {
        if (statusLine == null) {
            statusLine = header;
            if (!header.startsWith("HTTP/1.") || !header.contains(" 200")) {
                throw new InvalidInputException("unexpected response '" + header + "'");
            }
        } else if (header.isEmpty()) {
            inBody = true;
        } else {
            String lower = header.toLowerCase(Locale.ROOT);
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
        }
    }

    private void parseField(String text) {
        if (text.startsWith("data:")) {
            data.append(data.length() > 0 ? "\n" : "")
                    .append(text.substring(text.startsWith("data: ") ? 6 : 5));
        } else if (text.isEmpty() && data.length() > 0) {
            String event = data.toString();
            data.setLength(0);
            eventListener.accept(event);
        }
    }
}
