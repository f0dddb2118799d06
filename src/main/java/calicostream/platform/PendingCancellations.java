// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.RingBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * Which requests a client has cancelled by words that lie in its ring and were not handled yet:
 * they may wait behind many requests, and what they cancel must not be sent meanwhile. No I/O; each
 * byte is looked through once.
 */
final class PendingCancellations {
    private final RingBuffer in;
    private final Set<Object> ahead = new HashSet<>(); // numbers and ids
    private int searched; // bytes from the ring's head on

    PendingCancellations(RingBuffer in) {
        this.in = in;
    }

    /** What a word names: a request's number on its connection, which may stand in either place. */
    static long number(JsonRpc word) {
        return (long) (Double.isNaN(word.paramsNumber) ? word.id : word.paramsNumber);
    }

    /** So many bytes have left the ring. */
    void taken(int count) {
        searched = Math.max(0, searched - count);
    }

    /** A word has been handled. */
    void handled(JsonRpc word) {
        ahead.remove(number(word));
        ahead.remove(word.requestId);
    }

    boolean name(long number, String requestId) {
        for (int end = in.indexOf((byte) '\n', searched);
                end >= 0;
                end = in.indexOf((byte) '\n', searched)) {
            look(in.copy(searched, end - searched));
            searched = end + 1;
        }
        return ahead.contains(number) || ahead.contains(requestId);
    }

    private void look(byte[] line) {
        String text = new String(line, StandardCharsets.ISO_8859_1);
        if (!text.contains("interrupt")
                && text.indexOf('\\') < 0) { // Escaped, the word reads otherwise.
            return;
        }
        try {
            JsonRpc word = JsonRpc.read(line);
            if (word.isObject && "interrupt".equals(word.method)) {
                ahead.add(number(word));
                ahead.add(word.requestId);
            }
        } catch (JsonRpc.NotJson e) {
            // It is answered when its turn comes.
        }
    }
}
