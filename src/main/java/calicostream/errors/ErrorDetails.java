// SPDX-License-Identifier: Apache-2.0
package calicostream.errors;

import java.io.Serializable;

/**
 * What every {@link OperationalError} tells an operator. Immutable; any thread may read it.
 *
 * @param code the stable code of the error's type; the operators' page has a row for it, and
 *     metrics and alerts refer to it
 * @param facts who and what, with names and numbers
 * @param remedy what an operator can do, in one sentence
 */
public record ErrorDetails(String code, String facts, String remedy) implements Serializable {
    private static final long serialVersionUID = 1L;

    /** The text {@code code: facts}. */
    public String message() {
        return code + ": " + facts;
    }

    /** The text {@code code: facts; remedy}, for errors that reach an operator through a log. */
    public String messageWithRemedy() {
        return message() + "; " + remedy;
    }
}
