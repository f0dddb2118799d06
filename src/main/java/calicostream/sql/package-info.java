// SPDX-License-Identifier: Apache-2.0
/**
 * Owns what the servers of all protocols need to know of a statement's text. It knows no protocol,
 * does no I/O and never rejects a text. Read {@link calicostream.sql.TableGroupScanner} first.
 */
package calicostream.sql;
