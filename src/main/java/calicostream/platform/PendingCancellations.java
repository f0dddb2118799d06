// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.RingBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * Finds the requests that a client has cancelled by messages which are still in its input buffer. A
 * cancellation may be queued behind many requests, and a cancelled request must not be sent to an
 * engine. Each byte is scanned once. No I/O.
 */
final class PendingCancellations {
    private final RingBuffer input;

    /** The JSON-RPC ids and the request ids of cancelled requests. */
    private final Set<Object> cancelled = new HashSet<>();

    /** The number of bytes that were scanned, from the start of the buffer. */
    private int scannedBytes;

    PendingCancellations(RingBuffer input) {
        this.input = input;
    }

    /** The JSON-RPC id of the request to cancel, from the params or else the message's own id. */
    static long cancelledId(JsonRpc message) {
        return (long) (Double.isNaN(message.paramsIdNumber) ? message.id : message.paramsIdNumber);
    }

    /** Bytes were removed from the start of the buffer. */
    void bytesConsumed(int byteCount) {
        scannedBytes = Math.max(0, scannedBytes - byteCount);
    }

    /** Removes a cancellation that was processed. */
    void remove(JsonRpc message) {
        cancelled.remove(cancelledId(message));
        cancelled.remove(message.requestId);
    }

    /** Whether the buffer holds a cancellation of this request. */
    boolean contains(long id, String requestId) {
        for (int end = input.indexOf((byte) '\n', scannedBytes);
                end >= 0;
                end = input.indexOf((byte) '\n', scannedBytes)) {
            scanLine(input.copy(scannedBytes, end - scannedBytes));
            scannedBytes = end + 1;
        }
        return cancelled.contains(id) || cancelled.contains(requestId);
    }

    private void scanLine(byte[] line) {
        String lineText = new String(line, StandardCharsets.ISO_8859_1);
        // A backslash may escape letters of the method's name.
        if (!lineText.contains("interrupt") && lineText.indexOf('\\') < 0) {
            return;
        }
        try {
            JsonRpc message = JsonRpc.read(line);
            if (message.isObject && "interrupt".equals(message.method)) {
                cancelled.add(cancelledId(message));
                cancelled.add(message.requestId);
            }
        } catch (JsonRpc.MalformedJsonException e) {
            // The client gets an error response when the line is processed.
        }
    }
}
