// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 128 bits of a request id's SHA-256, which stand for the id in the shared file. Clients
 * choose ids: with a weaker hash one of them could make another's id look taken.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
record RequestIdHash(long high, long low) {
    static RequestIdHash of(String requestId) {
        try {
            ByteBuffer digest =
                    ByteBuffer.wrap(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(requestId.getBytes(StandardCharsets.UTF_8)));
            return new RequestIdHash(digest.getLong(), digest.getLong());
        } catch (NoSuchAlgorithmException e) { // Each Java platform has SHA-256.
            throw new IllegalStateException(e);
        }
    }
}
