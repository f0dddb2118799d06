// SPDX-License-Identifier: Apache-2.0
package calicostream.errors;

/**
 * An error that an operator may have to act on. Each type of error has a code that never changes;
 * each instance states the facts and what an operator can do. Instances are immutable and may be
 * read by any thread. No client of a front end sees them; the front end answers in its own words.
 *
 * <p>Java seals a class hierarchy within one package only, so each package seals its own root: an
 * abstract sealed exception or, where a rejection is returned and never thrown, a sealed interface.
 * The root carries an {@link OperatorDocumentation}; its permitted types are final and name their
 * code in a constant {@code CODE}. {@code OperationalErrorTest} checks that nothing else implements
 * this interface, that no code is used twice, and that each code is documented.
 */
public interface OperationalError {
    /** Code, facts and remedy of this error. */
    ErrorDetails details();

    /** The stable code of this error's type. */
    default String code() {
        return details().code();
    }

    /** Who and what, with names and numbers. */
    default String facts() {
        return details().facts();
    }

    /** What an operator can do, in one sentence. */
    default String remedy() {
        return details().remedy();
    }
}
