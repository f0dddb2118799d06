// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A JSON-RPC message, and the encoding of responses. The parser stores only the members that the
 * platform's protocol defines, so that a request needs no tree of JSON objects.
 */
final class JsonRpc {
    static final int PARSE_ERROR = -32700;
    static final int INVALID_REQUEST = -32600;
    static final int METHOD_NOT_FOUND = -32601;
    static final int INVALID_PARAMS = -32602;
    static final int REJECTED = -32000;
    static final int FAILED = -32001;
    private static final int MAX_DEPTH = 32;

    /** The path of values that are not stored, such as elements of a batch. */
    private static final String IGNORED_PATH = "elsewhere";

    /** The line is not valid JSON. */
    static final class MalformedJsonException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedJsonException() {
            super("not JSON", null, false, false);
        }
    }

    private static final Set<String> OPTIONAL_PARAM_PATHS =
            Set.of("/params/o", "/params/h", "/params/ram", "/params/r", "/params/k");

    // Parameters of the 64-bit FNV-1a hash.
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int MAX_ORDER_KEY_CHARS = 64;

    /** Excludes comma and equals sign, which separate the fields of a request to an engine. */
    private static final Pattern IDEMPOTENCY_KEY_PATTERN = Pattern.compile("[!-~&&[^,=]]{1,64}");

    /** More work in milliseconds, or memory in megabytes, than any request can need. */
    private static final double MAX_ESTIMATE = 1e12;

    String version;
    String method;
    String requestId;
    String content;
    String paramsId;
    String orderKey;

    /** Identifies repeats of a request at the engines, to which it is sent unchanged; or null. */
    String idempotencyKey;

    double id = Double.NaN;
    double timeoutMillis = Double.NaN;
    double paramsIdNumber = Double.NaN;
    double workEstimateMillis;
    double memoryEstimateMb;
    double clientRetry;
    boolean isObject;
    boolean hasParams;
    private boolean hasMistypedParam;
    private final byte[] input;
    private int position;

    private JsonRpc(byte[] input) {
        this.input = input;
    }

    /** Parses a line without its line feed. */
    static JsonRpc read(byte[] line) throws MalformedJsonException {
        JsonRpc message = new JsonRpc(line);
        message.skipWhitespace();
        message.isObject = message.peek() == '{';
        message.readValue("", 0);
        message.skipWhitespace();
        if (message.position < line.length) {
            throw new MalformedJsonException();
        }
        return message;
    }

    private int peek() {
        return position < input.length ? input[position] & 0xff : -1;
    }

    private void skipWhitespace() {
        while (peek() == ' ' || peek() == '\t' || peek() == '\r' || peek() == '\n') {
            position++;
        }
    }

    private void expect(int c) throws MalformedJsonException {
        if (peek() != c) {
            throw new MalformedJsonException();
        }
        position++;
    }

    /** Reads a value; stores scalars at the paths that the protocol defines. */
    private void readValue(String path, int depth) throws MalformedJsonException {
        skipWhitespace();
        int c = peek();
        if (depth > MAX_DEPTH) {
            throw new MalformedJsonException();
        }
        hasMistypedParam |=
                c != '"' && c != '-' && (c < '0' || c > '9') && OPTIONAL_PARAM_PATHS.contains(path);
        if (c == '{') {
            hasParams |= path.equals("/params");
            readObject(path, depth);
        } else if (c == '[') {
            readArray(depth);
        } else if (c == '"') {
            store(path, readString());
        } else if (c == '-' || c >= '0' && c <= '9') {
            store(path, readNumber());
        } else {
            readLiteral(c == 't' ? "true" : c == 'f' ? "false" : "null");
        }
    }

    private void readObject(String path, int depth) throws MalformedJsonException {
        expect('{');
        skipWhitespace();
        for (boolean first = true; peek() != '}'; first = false) {
            if (!first) {
                expect(',');
                skipWhitespace();
            }
            String name = readString();
            skipWhitespace();
            expect(':');
            readValue(depth > 1 ? IGNORED_PATH : path + "/" + name, depth + 1);
            skipWhitespace();
        }
        position++;
    }

    private void readArray(int depth) throws MalformedJsonException {
        expect('[');
        skipWhitespace();
        for (boolean first = true; peek() != ']'; first = false) {
            if (!first) {
                expect(',');
            }
            readValue(IGNORED_PATH, depth + 1);
            skipWhitespace();
        }
        position++;
    }

    private void store(String path, String value) {
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
                orderKey = value;
                break;
            case "/params/k":
                idempotencyKey = value;
                break;
            default:
                hasMistypedParam |= OPTIONAL_PARAM_PATHS.contains(path);
                break;
        }
    }

    private void store(String path, double value) {
        switch (path) {
            case "/id":
                id = value;
                break;
            case "/params/d":
                timeoutMillis = value;
                break;
            case "/params/id":
                paramsIdNumber = value;
                break;
            case "/params/h":
                workEstimateMillis = value;
                break;
            case "/params/ram":
                memoryEstimateMb = value;
                break;
            case "/params/r":
                clientRetry = value;
                break;
            default:
                hasMistypedParam |= OPTIONAL_PARAM_PATHS.contains(path);
                break;
        }
    }

    /**
     * Whether the optional parameters (keys, estimates, retry flag) have valid types and values.
     */
    boolean hasValidOptionalParams() {
        boolean hasValidOrderKey =
                orderKey == null || !orderKey.isEmpty() && orderKey.length() <= MAX_ORDER_KEY_CHARS;
        boolean hasValidIdempotencyKey =
                idempotencyKey == null || IDEMPOTENCY_KEY_PATTERN.matcher(idempotencyKey).matches();
        return !hasMistypedParam
                && hasValidOrderKey
                && hasValidIdempotencyKey
                && workEstimateMillis >= 0
                && workEstimateMillis <= MAX_ESTIMATE
                && memoryEstimateMb >= 0
                && memoryEstimateMb <= MAX_ESTIMATE
                && (clientRetry == 0 || clientRetry == 1);
    }

    /**
     * The hash of the order key, 0 where there is none. Requests of two keys with the same hash
     * only wait for each other.
     */
    long orderKeyHash() {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; orderKey != null && i < orderKey.length(); i++) {
            hash = (hash ^ orderKey.charAt(i)) * FNV_PRIME;
        }
        return orderKey == null ? 0 : Math.max(1, hash >>> 1);
    }

    private void readLiteral(String literal) throws MalformedJsonException {
        for (int i = 0; i < literal.length(); i++) {
            expect(literal.charAt(i));
        }
    }

    private double readNumber() throws MalformedJsonException {
        int start = position;
        while (peek() == '-'
                || peek() == '+'
                || peek() == '.'
                || (peek() | 0x20) == 'e'
                || peek() >= '0' && peek() <= '9') {
            position++;
        }
        try {
            return Double.parseDouble(
                    new String(input, start, position - start, StandardCharsets.US_ASCII));
        } catch (NumberFormatException e) {
            throw new MalformedJsonException();
        }
    }

    private String readString() throws MalformedJsonException {
        expect('"');
        int start = position;
        while (peek() != '"' && peek() != '\\') {
            if (peek() < ' ') {
                throw new MalformedJsonException();
            }
            position++;
        }
        String unescaped = new String(input, start, position - start, StandardCharsets.UTF_8);
        return input[position] == '"'
                ? endString(unescaped)
                : readEscapedString(new StringBuilder(unescaped));
    }

    private String endString(String value) {
        position++;
        return value;
    }

    private String readEscapedString(StringBuilder out) throws MalformedJsonException {
        while (peek() != '"') {
            if (peek() < ' ') {
                throw new MalformedJsonException();
            }
            if (peek() != '\\') {
                int start = position;
                while (peek() >= ' ' && peek() != '"' && peek() != '\\') {
                    position++;
                }
                out.append(new String(input, start, position - start, StandardCharsets.UTF_8));
                continue;
            }
            position++;
            int c = peek();
            int escapeIndex = "\"\\/bfnrt".indexOf(c);
            if (escapeIndex >= 0) {
                out.append("\"\\/\b\f\n\r\t".charAt(escapeIndex));
                position++;
            } else if (c == 'u' && position + 4 < input.length) {
                try {
                    out.append(
                            (char)
                                    Integer.parseInt(
                                            new String(
                                                    input,
                                                    position + 1,
                                                    4,
                                                    StandardCharsets.US_ASCII),
                                            16));
                } catch (NumberFormatException e) {
                    throw new MalformedJsonException();
                }
                position += 5;
            } else {
                throw new MalformedJsonException();
            }
        }
        return endString(out.toString());
    }

    // Responses

    private static final byte[] RESULT_HEAD = Resp.ascii("{\"jsonrpc\":\"2.0\",\"id\":");
    private static final byte[] RESULT_MIDDLE = Resp.ascii(",\"result\":{\"content\":\"");
    private static final byte[] RESULT_END = Resp.ascii("\"}}\n");

    static byte[] result(long id, byte[] rows) {
        byte[] idBytes = Resp.ascii(Long.toString(id));
        byte[] encodedRows = Base64.getEncoder().encode(rows);
        byte[] out =
                new byte
                        [RESULT_HEAD.length
                                + idBytes.length
                                + RESULT_MIDDLE.length
                                + encodedRows.length
                                + RESULT_END.length];
        int offset = 0;
        for (byte[] part :
                new byte[][] {RESULT_HEAD, idBytes, RESULT_MIDDLE, encodedRows, RESULT_END}) {
            System.arraycopy(part, 0, out, offset, part.length);
            offset += part.length;
        }
        return out;
    }

    /** The response to a check message. */
    static byte[] checkPassed(String id) {
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

    /** The response to a request that is rejected and may be sent again after a time. */
    static byte[] rejected(long id, long retryAfterMillis) {
        return Resp.ascii(
                "{\"jsonrpc\":\"2.0\",\"id\":"
                        + id
                        + ",\"error\":{\"code\":"
                        + REJECTED
                        + ",\"message\":\"refused\",\"data\":{\"w\":"
                        + retryAfterMillis
                        + "}}}\n");
    }
}
