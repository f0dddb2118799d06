// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.Locale;
import java.util.Set;

/**
 * What a statement's first word says of its effect on catalogs. Only a hint: what it forgets comes
 * back when asked for.
 */
public final class CatalogChangeDetector {
    private static final Set<String> CHANGES =
            Set.of(
                    "CREATE",
                    "DROP",
                    "ALTER",
                    "TRUNCATE",
                    "RENAME",
                    "COMMENT",
                    "GRANT",
                    "REVOKE",
                    "ATTACH",
                    "DETACH");

    private CatalogChangeDetector() {}

    /** Whether tables, schemas or catalogs may be others after it. */
    public static boolean changesCatalog(String sql) {
        int at = 0;
        while (at < sql.length()) {
            char c = sql.charAt(at);
            if (Character.isWhitespace(c) || c == '(' || c == ';') {
                at++;
            } else if (sql.startsWith("--", at)) {
                int end = sql.indexOf('\n', at);
                at = end < 0 ? sql.length() : end + 1;
            } else if (sql.startsWith("/*", at)) {
                int end = sql.indexOf("*/", at + 2);
                at = end < 0 ? sql.length() : end + 2;
            } else {
                break;
            }
        }
        int end = at;
        while (end < sql.length() && Character.isLetter(sql.charAt(end))) {
            end++;
        }
        return CHANGES.contains(sql.substring(at, end).toUpperCase(Locale.ROOT));
    }
}
