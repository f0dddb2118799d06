// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.Locale;
import java.util.Set;

/**
 * Detects from the first keyword of a SQL statement whether it may change a catalog. The result is
 * only a hint for cache invalidation.
 */
public final class CatalogChangeDetector {
    private static final Set<String> DDL_KEYWORDS =
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

    /**
     * Whether the statement may change tables, schemas or catalogs. Leading comments are skipped.
     */
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
        return DDL_KEYWORDS.contains(sql.substring(at, end).toUpperCase(Locale.ROOT));
    }
}
