// SPDX-License-Identifier: Apache-2.0
package calicostream.errors;

/**
 * Base of the unchecked {@link OperationalError}s. Each package that throws them declares one
 * abstract sealed subclass, which is the root of its own errors. Immutable. It carries no stack
 * trace: its message names the facts, and it may be thrown often.
 */
public abstract class OperationalException extends RuntimeException implements OperationalError {
    private static final long serialVersionUID = 1L;

    private final ErrorDetails details;

    /**
     * Creates an error whose message is {@link ErrorDetails#message()}.
     *
     * @param details code, facts and remedy
     */
    protected OperationalException(ErrorDetails details) {
        super(details.message(), null, false, false);
        this.details = details;
    }

    @Override
    public final ErrorDetails details() {
        return details;
    }
}
