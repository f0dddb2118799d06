// SPDX-License-Identifier: Apache-2.0
package calicostream.sql;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Finds the group of tables in a statement: the number behind the underscore in the name of the
 * schema that it reads or writes. Strings and comments are passed over, and so is the schema {@code
 * staging}.
 */
public final class TableGroupScanner {
    private static final Set<String> BEFORE_TABLE =
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
    private static final Set<String> AFTER_LIST =
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
    private final byte[] sql;
    private int at;
    private boolean tablePlace, inList;
    private String lastWord = "";
    private long selects =
            1; // a bit for each open parenthesis, innermost lowest: whether it holds a SELECT
    private int quotesToSeek = 64; // each may be sought through all that follows
    private int inTable = -1;
    private int elsewhere = -1;

    private TableGroupScanner(byte[] sql) {
        this.sql = sql;
    }

    /** The number of the group, or -1 where the statement names none. */
    public static int tableGroup(byte[] sql) {
        TableGroupScanner s = new TableGroupScanner(sql);
        while (s.at < sql.length && s.inTable < 0) {
            s.step();
        }
        return s.inTable >= 0 ? s.inTable : s.elsewhere;
    }

    private int peek(int ahead) {
        return at + ahead < sql.length ? sql[at + ahead] & 0xff : -1;
    }

    private void step() {
        int c = peek(0);
        if (c == '\'') {
            string(false);
        } else if (c == '-' && peek(1) == '-') {
            while (at < sql.length && peek(0) != '\n') {
                at++;
            }
        } else if (c == '/' && peek(1) == '*') {
            comment();
        } else if (c == '$' && dollarQuoted()) {
            tablePlace = false;
        } else if (startsName(c)) {
            if ((c | 0x20) == 'e' && peek(1) == '\'') {
                at++;
                string(true);
            } else {
                names();
            }
        } else {
            other(c);
        }
    }

    private void other(int c) {
        if (c == '(') {
            selects <<= 1;
        } else if (c == ')') {
            selects >>>= 1;
        }
        tablePlace = c <= ' ' || c == '(' ? tablePlace : c == ',' && inList;
        at++;
    }

    private void string(boolean escapes) {
        for (at++; at < sql.length; at++) {
            if (escapes && peek(0) == '\\') {
                at++;
            } else if (peek(0) == '\'' && peek(1) == '\'') {
                at++;
            } else if (peek(0) == '\'') {
                at++;
                break;
            }
        }
        tablePlace = false;
    }

    private void comment() {
        int depth = 0;
        do {
            boolean opens = peek(0) == '/' && peek(1) == '*';
            boolean closes = peek(0) == '*' && peek(1) == '/';
            depth += opens ? 1 : closes ? -1 : 0;
            at += opens || closes ? 2 : 1;
        } while (depth > 0 && at < sql.length);
    }

    /** {@code $tag$ ... $tag$}; false, and nothing taken, where no such string starts here. */
    private boolean dollarQuoted() {
        int end = at + 1;
        while (end < sql.length && (sql[end] == '_' || Character.isLetterOrDigit(sql[end]))) {
            end++;
        }
        if (end >= sql.length || sql[end] != '$' || quotesToSeek-- <= 0) {
            return false;
        }
        int length = end + 1 - at;
        for (int i = end + 1; i + length <= sql.length; i++) {
            if (java.util.Arrays.equals(sql, i, i + length, sql, at, at + length)) {
                at = i + length;
                return true;
            }
        }
        return false;
    }

    private static boolean startsName(int c) {
        return c == '_' || c == '"' || c == '`' || c == '[' || c >= 0x80 || Character.isLetter(c);
    }

    /** A name or keyword with all its parts, as in {@code catalog.sales_17.orders}. */
    private void names() {
        List<String> parts = new ArrayList<>(3);
        boolean quoted = false;
        while (startsName(peek(0))) {
            quoted |= quoteEnd(peek(0)) > 0;
            parts.add(name());
            int back = at;
            spaces();
            if (peek(0) != '.') {
                at = back;
                break;
            }
            at++;
            spaces();
        }
        if (parts.size() == 1) {
            word(quoted ? "" : parts.get(0).toLowerCase(Locale.ROOT));
            return;
        }
        for (int i = 0; i < parts.size() - 1; i++) {
            int group = group(parts.get(i));
            if (group >= 0 && tablePlace && i == parts.size() - 2) {
                inTable = group;
            } else if (group >= 0 && elsewhere < 0 && !tablePlace) {
                elsewhere = group;
            }
        }
        tablePlace = false;
    }

    /**
     * 'from' opens a list of tables, but not in 'extract(year from x)' nor in 'is distinct from x'.
     */
    private void word(String word) {
        boolean expression =
                word.equals("from") && ((selects & 1) == 0 || lastWord.equals("distinct"));
        tablePlace = BEFORE_TABLE.contains(word) && !expression;
        if (tablePlace || AFTER_LIST.contains(word)) {
            inList = tablePlace;
        }
        if (word.equals("select") || word.equals("delete")) {
            selects |= 1;
        }
        lastWord = word;
    }

    private void spaces() {
        while (at < sql.length && peek(0) <= ' ') {
            at++;
        }
    }

    private static int quoteEnd(int c) {
        return c == '"' ? '"' : c == '`' ? '`' : c == '[' ? ']' : 0;
    }

    private String name() {
        int end = quoteEnd(peek(0));
        StringBuilder out = new StringBuilder();
        if (end == 0) {
            while (at < sql.length
                    && (Character.isLetterOrDigit(peek(0))
                            || peek(0) == '_'
                            || peek(0) >= 0x80
                            || peek(0) == '$')) {
                out.append((char) peek(0));
                at++;
            }
            return out.toString();
        }
        for (at++; at < sql.length; at++) {
            if (peek(0) == end && peek(1) == end) {
                at++;
            } else if (peek(0) == end) {
                at++;
                break;
            }
            out.append((char) peek(0));
        }
        return out.toString();
    }

    private static int group(String schema) {
        int mark = schema.lastIndexOf('_');
        int digits = schema.length() - mark - 1;
        if (mark < 1 || digits < 1 || digits > 9) {
            return -1;
        }
        for (int i = mark + 1; i < schema.length(); i++) {
            if (schema.charAt(i) < '0' || schema.charAt(i) > '9') {
                return -1;
            }
        }
        return Integer.parseInt(schema.substring(mark + 1));
    }
}
