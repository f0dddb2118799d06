// SPDX-License-Identifier: Apache-2.0
package calicostream.sql;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Finds the table group of an SQL statement: the number after the underscore in the name of the
 * schema that the statement reads or writes, as 17 in {@code sales_17.orders}. Strings and comments
 * are skipped, and so are schemas without a number. The scanner accepts the dialects' differences
 * by being lenient: it never rejects a text.
 */
public final class TableGroupScanner {
    /** Keywords that a table's name follows. */
    private static final Set<String> TABLE_KEYWORDS =
            Set.of(
                    "from",
                    "join",
                    "into",
                    "update",
                    "table",
                    "using",
                    "copy",
                    "only",
                    "view",
                    "truncate",
                    "analyze",
                    "exists",
                    "merge",
                    "overwrite");

    /** Keywords that end a list of tables. */
    private static final Set<String> CLAUSE_KEYWORDS =
            Set.of(
                    "select",
                    "where",
                    "set",
                    "on",
                    "group",
                    "order",
                    "having",
                    "values",
                    "limit",
                    "union",
                    "except",
                    "intersect",
                    "returning",
                    "window");

    private static final int NO_GROUP = -1;
    private static final int END_OF_TEXT = -1;
    private static final int NOT_QUOTED = 0;
    private static final int MAX_GROUP_DIGITS = 9;

    /** Each opening dollar quote may be searched for through all that follows: a bound on that. */
    private static final int MAX_DOLLAR_QUOTES = 64;

    private final byte[] sql;
    private int position;

    /** Whether a name at the current position is that of a table. */
    private boolean expectsTable;

    /** Whether a comma is followed by one more table. */
    private boolean inTableList;

    private String lastKeyword = "";

    /** A bit for each open parenthesis, the innermost lowest: whether it contains a SELECT. */
    private long selectByNesting = 1;

    private int remainingDollarQuotes = MAX_DOLLAR_QUOTES;

    /** The group of the first table. */
    private int tableGroup = NO_GROUP;

    /** The first group found where no table is expected, as in a function call. */
    private int fallbackGroup = NO_GROUP;

    private TableGroupScanner(byte[] sql) {
        this.sql = sql;
    }

    /**
     * Finds the table group of a statement.
     *
     * @param sql the statement in UTF-8 or another superset of ASCII; not changed
     * @return the group's number, or -1 where the statement names none
     */
    public static int tableGroup(byte[] sql) {
        TableGroupScanner scanner = new TableGroupScanner(sql);
        while (scanner.position < sql.length && scanner.tableGroup == NO_GROUP) {
            scanner.scanToken();
        }
        return scanner.tableGroup != NO_GROUP ? scanner.tableGroup : scanner.fallbackGroup;
    }

    private int peek(int ahead) {
        return position + ahead < sql.length ? sql[position + ahead] & 0xff : END_OF_TEXT;
    }

    private boolean startsWith(char first, char second) {
        return peek(0) == first && peek(1) == second;
    }

    private void scanToken() {
        int c = peek(0);
        if (c == '\'') {
            skipString(false);
        } else if (startsWith('-', '-')) {
            skipLineComment();
        } else if (startsWith('/', '*')) {
            skipBlockComment();
        } else if (c == '$' && skipDollarQuoted()) {
            expectsTable = false;
        } else if (startsWith('e', '\'') || startsWith('E', '\'')) {
            position++;
            skipString(true);
        } else if (startsName(c)) {
            scanQualifiedName();
        } else {
            scanSymbol(c);
        }
    }

    private void scanSymbol(int c) {
        if (c == '(') {
            selectByNesting <<= 1;
        } else if (c == ')') {
            selectByNesting >>>= 1;
        }
        boolean keepsExpectation = c <= ' ' || c == '(';
        if (!keepsExpectation) {
            expectsTable = c == ',' && inTableList;
        }
        position++;
    }

    private void skipString(boolean hasEscapes) {
        position++;
        boolean closed = false;
        while (position < sql.length && !closed) {
            if (hasEscapes && peek(0) == '\\' || startsWith('\'', '\'')) {
                position += 2;
            } else {
                closed = peek(0) == '\'';
                position++;
            }
        }
        expectsTable = false;
    }

    private void skipLineComment() {
        while (position < sql.length && peek(0) != '\n') {
            position++;
        }
    }

    /** Block comments nest. */
    private void skipBlockComment() {
        int depth = 0;
        do {
            if (startsWith('/', '*')) {
                depth++;
                position += 2;
            } else if (startsWith('*', '/')) {
                depth--;
                position += 2;
            } else {
                position++;
            }
        } while (depth > 0 && position < sql.length);
    }

    /** Skips {@code $tag$ ... $tag$}; false, and nothing is skipped, where there is none here. */
    private boolean skipDollarQuoted() {
        int tagEnd = position + 1;
        while (tagEnd < sql.length
                && (sql[tagEnd] == '_' || Character.isLetterOrDigit(sql[tagEnd]))) {
            tagEnd++;
        }
        if (tagEnd >= sql.length || sql[tagEnd] != '$') {
            return false;
        }
        if (remainingDollarQuotes <= 0) {
            return false;
        }
        remainingDollarQuotes--;
        int length = tagEnd + 1 - position;
        for (int i = tagEnd + 1; i + length <= sql.length; i++) {
            if (isSameText(i, position, length)) {
                position = i + length;
                return true;
            }
        }
        return false;
    }

    private boolean isSameText(int first, int second, int length) {
        return Arrays.equals(sql, first, first + length, sql, second, second + length);
    }

    private static boolean startsName(int c) {
        return c == '_' || closingQuote(c) != NOT_QUOTED || c >= 0x80 || Character.isLetter(c);
    }

    private static boolean continuesName(int c) {
        return c == '_' || c == '$' || c >= 0x80 || Character.isLetterOrDigit(c);
    }

    /** A keyword, or a name with all its parts, as in {@code catalog.sales_17.orders}. */
    private void scanQualifiedName() {
        List<String> parts = new ArrayList<>(3);
        boolean quoted = false;
        boolean more = true;
        while (more && startsName(peek(0))) {
            quoted |= closingQuote(peek(0)) != NOT_QUOTED;
            parts.add(scanNamePart());
            more = skipDot();
        }
        if (parts.size() == 1) {
            applyKeyword(quoted ? "" : parts.get(0).toLowerCase(Locale.ROOT));
        } else {
            applyQualifiedName(parts);
        }
    }

    /** Skips a dot with spaces around it; false, and nothing is skipped, where there is none. */
    private boolean skipDot() {
        int start = position;
        skipSpaces();
        if (peek(0) != '.') {
            position = start;
            return false;
        }
        position++;
        skipSpaces();
        return true;
    }

    private void applyQualifiedName(List<String> parts) {
        int schema = parts.size() - 2;
        for (int i = 0; i <= schema; i++) {
            int group = groupOf(parts.get(i));
            if (group != NO_GROUP && expectsTable && i == schema) {
                tableGroup = group;
            } else if (group != NO_GROUP && !expectsTable && fallbackGroup == NO_GROUP) {
                fallbackGroup = group;
            }
        }
        expectsTable = false;
    }

    /** {@code from} starts no tables in {@code extract(year from x)} and {@code distinct from}. */
    private void applyKeyword(String keyword) {
        boolean inSelect = (selectByNesting & 1) != 0;
        boolean fromInExpression =
                keyword.equals("from") && (!inSelect || lastKeyword.equals("distinct"));
        expectsTable = TABLE_KEYWORDS.contains(keyword) && !fromInExpression;
        if (expectsTable || CLAUSE_KEYWORDS.contains(keyword)) {
            inTableList = expectsTable;
        }
        if (keyword.equals("select") || keyword.equals("delete")) {
            selectByNesting |= 1;
        }
        lastKeyword = keyword;
    }

    private void skipSpaces() {
        while (position < sql.length && peek(0) <= ' ') {
            position++;
        }
    }

    private static int closingQuote(int openingQuote) {
        switch (openingQuote) {
            case '"':
            case '`':
                return openingQuote;
            case '[':
                return ']';
            default:
                return NOT_QUOTED;
        }
    }

    private String scanNamePart() {
        int closingQuote = closingQuote(peek(0));
        return closingQuote == NOT_QUOTED ? scanPlainName() : scanQuotedName(closingQuote);
    }

    private String scanPlainName() {
        StringBuilder name = new StringBuilder();
        while (position < sql.length && continuesName(peek(0))) {
            name.append((char) peek(0));
            position++;
        }
        return name.toString();
    }

    /** A quote within the name is doubled. */
    private String scanQuotedName(int closingQuote) {
        StringBuilder name = new StringBuilder();
        position++;
        boolean closed = false;
        while (position < sql.length && !closed) {
            boolean doubled = peek(0) == closingQuote && peek(1) == closingQuote;
            closed = peek(0) == closingQuote && !doubled;
            if (doubled) {
                position++;
            }
            if (!closed) {
                name.append((char) peek(0));
            }
            position++;
        }
        return name.toString();
    }

    private static int groupOf(String schema) {
        int underscore = schema.lastIndexOf('_');
        String digits = schema.substring(underscore + 1);
        boolean isNumber =
                !digits.isEmpty()
                        && digits.length() <= MAX_GROUP_DIGITS
                        && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return underscore >= 1 && isNumber ? Integer.parseInt(digits) : NO_GROUP;
    }
}
