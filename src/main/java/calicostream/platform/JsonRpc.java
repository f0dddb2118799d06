// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * One JSON-RPC line: a reader of JSON that keeps the few members the platform's protocol has, so
 * that the common request costs no tree of objects.
 */
final class JsonRpc {
    static final int PARSE_ERROR = -32700;
    static final int INVALID_REQUEST = -32600;
    static final int METHOD_NOT_FOUND = -32601;
    static final int INVALID_PARAMS = -32602;
    static final int REFUSED = -32000;
    static final int FAILED = -32001;
    private static final int DEEPEST = 32;
    private static final String ELSEWHERE =
            "elsewhere"; // path of what is of no interest, as in a batch

    /** Text that is not JSON. */
    static final class NotJson extends Exception {
        private static final long serialVersionUID = 1L;

        NotJson() {
            super("not JSON", null, false, false);
        }
    }

    private static final Set<String> MARKS =
            Set.of("/params/o", "/params/h", "/params/ram", "/params/r", "/params/k");
    private static final long FNV_START = 0xcbf29ce484222325L; // FNV-1a, 64 bits
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int LONGEST_KEY = 64;
    private static final Pattern REPEAT_KEY =
            Pattern.compile("[!-~&&[^,=]]{1,64}"); // fits into engines' lists of fields
    private static final double MOST = 1e12; // of an estimate: beyond any work or memory there is

    String version;
    String method;
    String requestId;
    String content;
    String paramsId;
    String order;

    /** By which engines know a repeat, or null; it passes on unchanged. */
    String repeatKey;

    double id = Double.NaN;
    double wait = Double.NaN;
    double paramsNumber = Double.NaN;
    double work;
    double memory;
    double retry;
    boolean isObject;
    boolean hasParams;
    private boolean mistyped;
    private final byte[] text;
    private int at;

    private JsonRpc(byte[] text) {
        this.text = text;
    }

    static JsonRpc read(byte[] line) throws NotJson {
        JsonRpc out = new JsonRpc(line);
        out.space();
        out.isObject = out.peek() == '{';
        out.value("", 0);
        out.space();
        if (out.at < line.length) {
            throw new NotJson();
        }
        return out;
    }

    private int peek() {
        return at < text.length ? text[at] & 0xff : -1;
    }

    private void space() {
        while (peek() == ' ' || peek() == '\t' || peek() == '\r' || peek() == '\n') {
            at++;
        }
    }

    private void expect(int c) throws NotJson {
        if (peek() != c) {
            throw new NotJson();
        }
        at++;
    }

    /** Reads a value; scalars found at a path of interest are kept. */
    private void value(String path, int depth) throws NotJson {
        space();
        int c = peek();
        if (depth > DEEPEST) {
            throw new NotJson();
        }
        mistyped |= c != '"' && c != '-' && (c < '0' || c > '9') && MARKS.contains(path);
        if (c == '{') {
            hasParams |= path.equals("/params");
            object(path, depth);
        } else if (c == '[') {
            array(depth);
        } else if (c == '"') {
            keep(path, string());
        } else if (c == '-' || c >= '0' && c <= '9') {
            keep(path, number());
        } else {
            word(c == 't' ? "true" : c == 'f' ? "false" : "null");
        }
    }

    private void object(String path, int depth) throws NotJson {
        expect('{');
        space();
        for (boolean first = true; peek() != '}'; first = false) {
            if (!first) {
                expect(',');
                space();
            }
            String name = string();
            space();
            expect(':');
            value(depth > 1 ? ELSEWHERE : path + "/" + name, depth + 1);
            space();
        }
        at++;
    }

    private void array(int depth) throws NotJson {
        expect('[');
        space();
        for (boolean first = true; peek() != ']'; first = false) {
            if (!first) {
                expect(',');
            }
            value(ELSEWHERE, depth + 1);
            space();
        }
        at++;
    }

    private void keep(String path, String value) {
        switch (path) {
            case "/jsonrpc":
                version = value;
                break;
            case "/method":
                method = value;
                break;
            case "/params/i":
                requestId = value;
                break;
            case "/params/content":
                content = value;
                break;
            case "/params/id":
                paramsId = value;
                break;
            case "/params/o":
                order = value;
                break;
            case "/params/k":
                repeatKey = value;
                break;
            default:
                mistyped |= MARKS.contains(path);
                break;
        }
    }

    private void keep(String path, double value) {
        switch (path) {
            case "/id":
                id = value;
                break;
            case "/params/d":
                wait = value;
                break;
            case "/params/id":
                paramsNumber = value;
                break;
            case "/params/h":
                work = value;
                break;
            case "/params/ram":
                memory = value;
                break;
            case "/params/r":
                retry = value;
                break;
            default:
                mistyped |= MARKS.contains(path);
                break;
        }
    }

    /**
     * Whether the marks that a request may carry, keys, estimates and retry, are of their type and
     * range.
     */
    boolean hasUsableMarks() {
        boolean named = order == null || !order.isEmpty() && order.length() <= LONGEST_KEY;
        boolean repeats = repeatKey == null || REPEAT_KEY.matcher(repeatKey).matches();
        return !mistyped
                && named
                && repeats
                && work >= 0
                && work <= MOST
                && memory >= 0
                && memory <= MOST
                && (retry == 0 || retry == 1);
    }

    /**
     * The key as a number, 0 where there is none: two keys that fall together would only wait for
     * each other.
     */
    long key() {
        long hash = FNV_START;
        for (int i = 0; order != null && i < order.length(); i++) {
            hash = (hash ^ order.charAt(i)) * FNV_PRIME;
        }
        return order == null ? 0 : Math.max(1, hash >>> 1);
    }

    private void word(String word) throws NotJson {
        for (int i = 0; i < word.length(); i++) {
            expect(word.charAt(i));
        }
    }

    private double number() throws NotJson {
        int start = at;
        while (peek() == '-'
                || peek() == '+'
                || peek() == '.'
                || (peek() | 0x20) == 'e'
                || peek() >= '0' && peek() <= '9') {
            at++;
        }
        try {
            return Double.parseDouble(
                    new String(text, start, at - start, StandardCharsets.US_ASCII));
        } catch (NumberFormatException e) {
            throw new NotJson();
        }
    }

    private String string() throws NotJson {
        expect('"');
        int start = at;
        while (peek() != '"' && peek() != '\\') {
            if (peek() < ' ') {
                throw new NotJson();
            }
            at++;
        }
        String plain = new String(text, start, at - start, StandardCharsets.UTF_8);
        return text[at] == '"' ? ended(plain) : escaped(new StringBuilder(plain));
    }

    private String ended(String value) {
        at++;
        return value;
    }

    private String escaped(StringBuilder out) throws NotJson {
        while (peek() != '"') {
            if (peek() < ' ') {
                throw new NotJson();
            }
            if (peek() != '\\') {
                int start = at;
                while (peek() >= ' ' && peek() != '"' && peek() != '\\') {
                    at++;
                }
                out.append(new String(text, start, at - start, StandardCharsets.UTF_8));
                continue;
            }
            at++;
            int c = peek();
            int plain = "\"\\/bfnrt".indexOf(c);
            if (plain >= 0) {
                out.append("\"\\/\b\f\n\r\t".charAt(plain));
                at++;
            } else if (c == 'u' && at + 4 < text.length) {
                try {
                    out.append(
                            (char)
                                    Integer.parseInt(
                                            new String(text, at + 1, 4, StandardCharsets.US_ASCII),
                                            16));
                } catch (NumberFormatException e) {
                    throw new NotJson();
                }
                at += 5;
            } else {
                throw new NotJson();
            }
        }
        return ended(out.toString());
    }

    // ---- Answers
    // ---------------------------------------------------------------------------------------
    private static final byte[] RESULT_HEAD = Resp.ascii("{\"jsonrpc\":\"2.0\",\"id\":");
    private static final byte[] RESULT_MIDDLE = Resp.ascii(",\"result\":{\"content\":\"");
    private static final byte[] RESULT_END = Resp.ascii("\"}}\n");

    static byte[] result(long id, byte[] rows) {
        byte[] number = Resp.ascii(Long.toString(id));
        byte[] body = Base64.getEncoder().encode(rows);
        byte[] out =
                new byte
                        [RESULT_HEAD.length
                                + number.length
                                + RESULT_MIDDLE.length
                                + body.length
                                + RESULT_END.length];
        int to = 0;
        for (byte[] part : new byte[][] {RESULT_HEAD, number, RESULT_MIDDLE, body, RESULT_END}) {
            System.arraycopy(part, 0, out, to, part.length);
            to += part.length;
        }
        return out;
    }

    static byte[] pass(String id) {
        return Resp.ascii("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"result\":{\"pass\":true}}\n");
    }

    static byte[] error(String id, int code, String message) {
        return Resp.ascii(
                "{\"jsonrpc\":\"2.0\",\"id\":"
                        + id
                        + ",\"error\":{\"code\":"
                        + code
                        + ",\"message\":\""
                        + message
                        + "\"}}\n");
    }

    static byte[] refused(long id, long waitMs) {
        return Resp.ascii(
                "{\"jsonrpc\":\"2.0\",\"id\":"
                        + id
                        + ",\"error\":{\"code\":"
                        + REFUSED
                        + ",\"message\":\"refused\",\"data\":{\"w\":"
                        + waitMs
                        + "}}}\n");
    }
}
