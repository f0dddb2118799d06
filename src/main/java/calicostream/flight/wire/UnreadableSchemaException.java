// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.wire;

import java.io.IOException;

/** Bytes of a client or an engine that are no Arrow schema, or one beyond the limits. */
public final class UnreadableSchemaException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong with the bytes
     */
    public UnreadableSchemaException(String message) {
        super(message);
    }

    UnreadableSchemaException(RuntimeException cause) {
        super("not an Arrow schema", cause);
    }
}
