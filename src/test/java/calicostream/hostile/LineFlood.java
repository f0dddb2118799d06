// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;
import java.util.function.IntFunction;

/** What one hostile client writes to the platform's front, over and over. */
enum LineFlood {
    BLANK_LINES(i -> "\n".repeat(100)),
    JUNK(i -> "x\n"),
    CHECKS(i -> "{\"jsonrpc\":\"2.0\",\"id\":" + (i + 1) + ",\"method\":\"check\"}\n"),
    INTERRUPTS(
            i ->
                    "{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":"
                            + (i + 1)
                            + "}}\n"),
    NEW_METHODS(
            i -> "{\"jsonrpc\":\"2.0\",\"id\":" + (i + 1) + ",\"method\":\"method-" + i + "\"}\n"),
    NEW_REQUESTS(i -> request(i, "\"d\":4000")),
    NEW_SHORT_REQUESTS(i -> request(i, "\"d\":1")),
    NEW_ORDER_KEYS(i -> request(i, "\"d\":4000,\"o\":\"key-" + i + "\"")),
    NEW_REPEAT_KEYS(i -> request(i, "\"d\":4000,\"k\":\"key-" + i + "\"")),
    NEW_LOADS(i -> load(i, "insert into other_9.t")),
    LOADS_ON_SHARED_TABLES(i -> load(i, "insert")),
    MANY_SHORT_FIELDS(i -> "{" + "\"a\":1,".repeat(10_000) + "\"a\":1}\n"),
    UNSOUND_PARAMS(i -> request(i, "\"d\":\"x\"")),
    DEEP(i -> "[".repeat(1000) + "\n"),
    LONG_LINE(i -> "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"" + "m".repeat(10_000));

    private final IntFunction<String> line;

    LineFlood(IntFunction<String> line) {
        this.line = line;
    }

    private static String request(int i, String params) {
        return String.format(
                Locale.ROOT,
                "{\"jsonrpc\":\"2.0\",\"id\":%d,\"method\":\"lookup\",\"params\":{\"i\":\"%016x\","
                        + "\"content\":\"c2VsZWN0IDE=\",%s}}%n",
                i + 1,
                0x7000000000000000L + i,
                params);
    }

    private static String load(int i, String sql) {
        String body = Base64.getEncoder().encodeToString(sql.getBytes(StandardCharsets.US_ASCII));
        return request(i, "\"d\":4000")
                .replace("\"lookup\"", "\"stat-load\"")
                .replace("c2VsZWN0IDE=", body);
    }

    byte[] line(int i) {
        return line.apply(i).getBytes(StandardCharsets.US_ASCII);
    }
}
