// SPDX-License-Identifier: Apache-2.0
package calicostream.errors;

/**
 * An error of the fleet's common work: each has a type, a code that never changes, the facts (who,
 * what, since when, until when) and what an operator can do. Immutable; any thread may read it.
 * None of them reaches a client of a front end but in the words of that front end's page.
 *
 * <p>Java seals a family within one package only, and a package here is a concern. So each package
 * seals its own root: an abstract sealed exception with a {@link OperatorDocumentation}, or where a
 * refusal is an answer and never thrown a sealed interface with one, whose permitted types are
 * final and name their code in a constant {@code CODE}. A test holds that nothing else implements
 * this, that no code is used twice, and that each has its row.
 */
public interface OperationalError {
    /** Stable: rows of the operators' page, figures and alarms go by it. */
    String code();

    /** Who and what, with names and numbers. */
    String facts();

    /** What an operator can do; one sentence. */
    String remedy();
}
