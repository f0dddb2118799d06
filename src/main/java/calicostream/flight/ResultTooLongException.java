// SPDX-License-Identifier: Apache-2.0
package calicostream.flight;

import java.io.IOException;

/** A result whose text is longer than what is held of a result. */
public final class ResultTooLongException extends IOException {
    private static final long serialVersionUID = 1L;

    ResultTooLongException(long maxChars) {
        super("over " + maxChars + " characters of text");
    }
}
