// SPDX-License-Identifier: Apache-2.0

/**
 * Owns what all errors of a fleet that works together have in common: type, code, facts, remedy,
 * and the page that tells of them. It knows none of the packages whose errors these are, and
 * nothing else of the program. Read {@link calicostream.errors.OperationalError} first.
 */
package calicostream.errors;
