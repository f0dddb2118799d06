// SPDX-License-Identifier: Apache-2.0

/**
 * Owns what the errors of all replicated parts have in common: a type, a stable code, the facts, a
 * remedy, and the page that documents the code. It knows none of the packages that declare such
 * errors, and no other part of the program. Read {@link calicostream.errors.OperationalError}
 * first.
 */
package calicostream.errors;
