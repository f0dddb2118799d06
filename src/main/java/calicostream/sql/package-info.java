// SPDX-License-Identifier: Apache-2.0
/**
 * What the fronts of all protocols need to know of a statement's text. It knows no protocol, does
 * no I/O and never refuses a text. Read {@link calicostream.sql.TableGroupScanner} first.
 */
package calicostream.sql;
