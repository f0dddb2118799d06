// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

/** Ends a simulation whose check failed; the message tells which. */
final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvariantViolation(String message) {
        super(message);
    }

    /** Throws unless the description of a violation is empty. */
    static void throwUnlessEmpty(String violation) {
        if (!violation.isEmpty()) {
            throw new InvariantViolation(violation);
        }
    }
}
