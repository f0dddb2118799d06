// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

/** Bytes that break the protocol of the connection they came on. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message);
    }
}
