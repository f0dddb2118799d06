// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicostream.core.Clock;
import calicostream.net.InvalidInputException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointListDecoderTest {
    private static final String GOOD =
            """
            {"seq":2,"fleet":{"snapshot":%s,"endpoints":[{"name":"e1","address":"127.0.0.1:7001","zone":"a","type":"k","group":0,
            "status":"Ready","weight":4,"since_ms":1700000000000}]}}\
            """;

    /** Converts the same time anew to another one each time, as a clock that is stepped does. */
    private static final class Stepped extends Clock {
        private long step;

        @Override
        public long ofUnixMillis(long millis) {
            return millis <= 0 ? 0 : millis + ++step;
        }
    }

    private final EndpointListDecoder roster =
            new EndpointListDecoder(new Stepped(), List.of("a"), List.of("k"));

    /**
     * Forgotten starts would be converted anew, and each engine would look as if it had restarted.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"seq\":3,\"fleet\":{\"snapshot\":true,\"endpoints\":[{\"name\":\"e2\",\"status\":\"What\"}]}}",
                "{\"seq\":3,\"fleet\":{\"snapshot\":true,\"endpoints\":[{\"name\":\"e2\",\"status\":\"Ready\"}]}}",
                "{\"seq\":3,\"fleet\":{\"snapshot\":true,\"endpoints\":[{\"name\":\"e1\",\"status\":\"Gone\"},7]}}",
                "{\"seq\":3,\"fleet\":{\"snapshot\":true}}"
            })
    void aWholeListThatCantBeReadForgetsNothing(String bad) throws InvalidInputException {
        long born = roster.parse(GOOD.formatted("false")).engines().get(0).startedAtUs();
        assertThrows(InvalidInputException.class, () -> roster.parse(bad));
        assertEquals(born, roster.parse(GOOD.formatted("false")).engines().get(0).startedAtUs());
    }

    @Test
    void aWholeListKeepsTheStartsItNames() throws InvalidInputException {
        long born = roster.parse(GOOD.formatted("false")).engines().get(0).startedAtUs();
        assertEquals(born, roster.parse(GOOD.formatted("true")).engines().get(0).startedAtUs());
    }
}
