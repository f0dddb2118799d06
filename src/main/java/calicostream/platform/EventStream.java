// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.InvalidInputException;
import calicostream.net.RingBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * One HTTP answer that holds server-sent events, chunked or not, as its bytes come. An event is
 * passed on with the empty line that ends it; half an event goes with the stream that was cut.
 */
final class EventStream {
    private static final int LONGEST = 1024 * 1024; // a whole list of thousands of engines
    private final Consumer<String> event;
    private final StringBuilder line = new StringBuilder();
    private final StringBuilder data = new StringBuilder();
    private String status;
    private boolean chunked;
    private boolean inBody;
    private boolean skipsChunkEnd;
    private long chunkLeft;

    EventStream(Consumer<String> event) {
        this.event = event;
    }

    /** Whether the other side has said that events will come. */
    boolean hasBegun() {
        return inBody;
    }

    /** Whether nothing has come of an event that has not come whole. */
    boolean isBetweenEvents() {
        return line.length() == 0 && data.length() == 0 && chunkLeft == 0;
    }

    /** Takes all that can be used. */
    void take(RingBuffer in) throws InvalidInputException {
        while (step(in)) {
            if (line.length() > LONGEST || data.length() > LONGEST) {
                throw new InvalidInputException("an event is too long");
            }
        }
        if (in.remainingCapacity() == 0) {
            throw new InvalidInputException("a line of the head is too long");
        }
    }

    /**
     * Takes what it can use next, one line or one chunk's edge; false where more bytes are needed.
     */
    private boolean step(RingBuffer in) throws InvalidInputException {
        if (inBody && chunked && chunkLeft == 0) {
            return chunkHead(in);
        }
        int end = in.indexOf((byte) '\n', 0);
        int most = inBody && chunked ? (int) Math.min(in.size(), chunkLeft) : in.size();
        int take = end >= 0 && end < most ? end + 1 : inBody ? most : 0;
        if (take == 0) {
            return false;
        }
        // Any byte is a letter here, so that no letter is cut in two; what is read out is ASCII but
        // for names.
        String text = new String(in.copy(0, take), StandardCharsets.ISO_8859_1);
        in.skip(take);
        if (inBody && chunked) {
            chunkLeft -= take;
            skipsChunkEnd = chunkLeft == 0;
        }
        line.append(text);
        if (text.endsWith("\n")) {
            String whole = line.toString().stripTrailing();
            line.setLength(0);
            if (inBody) {
                field(
                        new String(
                                whole.getBytes(StandardCharsets.ISO_8859_1),
                                StandardCharsets.UTF_8));
            } else {
                head(whole);
            }
        }
        return true;
    }

    private boolean chunkHead(RingBuffer in) throws InvalidInputException {
        int end = in.indexOf((byte) '\n', 0);
        if (end < 0) {
            return false;
        }
        String text = new String(in.copy(0, end), StandardCharsets.US_ASCII).split(";")[0].trim();
        in.skip(end + 1);
        if (skipsChunkEnd && text.isEmpty()) {
            skipsChunkEnd = false;
            return true;
        }
        try {
            chunkLeft = Long.parseLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("a chunk's length can't be read");
        }
        if (chunkLeft <= 0) {
            throw new InvalidInputException("the stream ended");
        }
        return true;
    }

    private void head(String header) throws InvalidInputException {
        if (status == null) {
            status = header;
            if (!header.startsWith("HTTP/1.") || !header.contains(" 200")) {
                throw new InvalidInputException("answered '" + header + "'");
            }
        } else if (header.isEmpty()) {
            inBody = true;
        } else {
            String lower = header.toLowerCase(Locale.ROOT);
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
        }
    }

    private void field(String text) {
        if (text.startsWith("data:")) {
            data.append(data.length() > 0 ? "\n" : "")
                    .append(text.substring(text.startsWith("data: ") ? 6 : 5));
        } else if (text.isEmpty() && data.length() > 0) {
            String whole = data.toString();
            data.setLength(0);
            event.accept(whole);
        }
    }
}
