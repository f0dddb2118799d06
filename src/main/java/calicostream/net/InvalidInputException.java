// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

/** Input from outside the program, on a connection or in a file, that breaks its format. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong, in one line for the operator
     */
    public InvalidInputException(String message) {
        super(message);
    }
}
